#ifndef BENCH_FORWARD_BENCH_EVENT_GATEWAY_H_
#define BENCH_FORWARD_BENCH_EVENT_GATEWAY_H_

#include <string>
#include <vector>

#include "briarspread/core/upstream.h"

namespace briarspread::bench {

/// Settings of the event-driven gateway.
struct EventGatewaySettings {
  Endpoint listen;
  /// Path prefix of the requests that are forwarded to the upstreams.
  std::string prefix;
  std::vector<Endpoint> upstreams;
};

/// Runs the event-driven gateway until SIGTERM or SIGINT. Returns the exit code
/// of the process.
int RunEventGateway(const EventGatewaySettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_FORWARD_BENCH_EVENT_GATEWAY_H_
