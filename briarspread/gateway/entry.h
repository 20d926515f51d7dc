#ifndef BRIARSPREAD_GATEWAY_ENTRY_H_
#define BRIARSPREAD_GATEWAY_ENTRY_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/gateway/control_state.h"
#include "briarspread/gateway/live_handler.h"
#include "briarspread/gateway/pool_gates.h"
#include "briarspread/gateway/rules_agent.h"
#include "briarspread/gateway/trainer_handler.h"
#include "briarspread/gateway/upstream_call.h"
#include "briarspread/gateway/upstream_monitor.h"
#include "briarspread/routing/two_choices_router.h"
#include "briarspread/settings/entry_settings.h"
#include "briarspread/transport/consul_store.h"
#include "briarspread/transport/http_server.h"
#include "briarspread/transport/http_upstream_client.h"

namespace briarspread {

/// One entry instance: data path and control, wired to HTTP.
class Entry {
 public:
  explicit Entry(const EntrySettings& settings);

  /// Starts serving. Fails where the address is taken.
  Status Start();
  /// Shuts down gracefully: readiness drops, new work is refused, requests in
  /// flight finish. Returns whether all finished within the drain limit.
  bool Drain();

 private:
  void AddOperatorRoutes();

  const EntrySettings settings_;
  SystemClock clock_;
  /// Seeded by the operating system.
  SeededRandom random_;
  ControlState state_;
  EntryMetrics metrics_;
  Tracer tracer_;
  const GatewayContext context_;
  HttpUpstreamClient client_;
  ConsulStore store_;
  ConsulInstanceList list_;
  TwoChoicesRouter router_;
  PoolGates gates_;
  /// Outlives the monitor, whose thread calls it.
  RulesAgent rules_;
  UpstreamMonitor monitor_;
  UpstreamCaller caller_;
  LiveHandler live_;
  TrainerHandler trainers_;
  HttpServer server_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_ENTRY_H_
