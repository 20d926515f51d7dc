#ifndef BRIARSPREAD_GATEWAY_ENTRY_H_
#define BRIARSPREAD_GATEWAY_ENTRY_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/gateway/control_state.h"
#include "briarspread/gateway/home_agent.h"
#include "briarspread/gateway/keyed_request_runner.h"
#include "briarspread/gateway/live_handler.h"
#include "briarspread/gateway/membership_agent.h"
#include "briarspread/gateway/peer_directory.h"
#include "briarspread/gateway/pool_gates.h"
#include "briarspread/gateway/rules_agent.h"
#include "briarspread/gateway/trainer_handler.h"
#include "briarspread/gateway/upstream_call.h"
#include "briarspread/gateway/upstream_monitor.h"
#include "briarspread/gateway/weights_agent.h"
#include "briarspread/routing/two_choices_router.h"
#include "briarspread/settings/entry_settings.h"
#include "briarspread/transport/consul_store.h"
#include "briarspread/transport/http_server.h"
#include "briarspread/transport/http_upstream_client.h"

namespace briarspread {

/// One entry instance: creates and connects its data path, control threads and
/// HTTP server.
class Entry {
 public:
  explicit Entry(const EntrySettings& settings);

  /// Starts serving. Fails if the trace file cannot be opened or an address is
  /// in use.
  Status Start();
  /// Shuts down gracefully: reports not ready, refuses new work, and waits for
  /// requests in flight. Returns whether all finished within the drain limit.
  bool Drain();

 private:
  void AddOperatorRoutes();

  /// Reads from the rules in force which engines refuse old fencing numbers.
  class FencingRulesInForce final : public FencingRules {
   public:
    explicit FencingRulesInForce(const ControlState& state) : state_(state) {}
    bool ChecksFencing(const std::string& model) const override {
      return state_.rules.Read()->ChecksFencing(model);
    }

   private:
    const ControlState& state_;
  };

  /// Forwards the rules revisions that peers report to the `RulesAgent`.
  class PeerReportForwarder final : public MembershipObserver {
   public:
    explicit PeerReportForwarder(RulesAgent& rules) : rules_(rules) {}
    void OnPeerReport(const PeerReport& report) override {
      rules_.OnAnnouncement(report.peer, report.rules_revision);
    }
    void OnNotice(const Notice& /*notice*/) override {}

   private:
    RulesAgent& rules_;
  };

  void OnList(const std::vector<ListedInstance>& listed);

  const EntrySettings settings_;
  SystemClock clock_;
  /// Distinguishes this run of the process from earlier ones.
  const Incarnation incarnation_;
  /// Seeded by the operating system.
  SeededRandom random_;
  ControlState state_;
  EntryMetrics metrics_;
  Tracer tracer_;
  const GatewayContext context_;
  HttpUpstreamClient client_;
  ConsulStore store_;
  ConsulInstanceList list_;
  PeerDirectory peers_;
  TwoChoicesRouter router_;
  PoolGates gates_;
  RulesAgent rules_;
  PeerReportForwarder report_forwarder_;
  MembershipAgent membership_;
  HomeAgent homes_;
  /// Declared after the members that its callback uses.
  UpstreamMonitor monitor_;
  UpstreamCaller caller_;
  KeyedRequestRunner keyed_;
  LiveHandler live_;
  TrainerHandler trainers_;
  FencingRulesInForce fencing_;
  HttpEngineOrders orders_;
  WeightsAgent weights_;
  HttpServer server_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_ENTRY_H_
