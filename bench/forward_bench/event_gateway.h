#ifndef BENCH_FORWARD_BENCH_EVENT_GATEWAY_H_
#define BENCH_FORWARD_BENCH_EVENT_GATEWAY_H_

#include <string>
#include <vector>

#include "briarspread/core/upstream.h"

namespace briarspread::bench {

/// What the event-driven gateway is given.
struct EventGatewaySettings {
  Endpoint listen;
  /// Requests under this prefix go to the upstreams.
  std::string prefix;
  std::vector<Endpoint> upstreams;
};

/// Serves on the event-driven path until SIGTERM. Returns the exit code.
int RunEventGateway(const EventGatewaySettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_FORWARD_BENCH_EVENT_GATEWAY_H_
