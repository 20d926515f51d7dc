#ifndef BENCH_FORWARD_BENCH_COST_PROBE_H_
#define BENCH_FORWARD_BENCH_COST_PROBE_H_

#include <cstdint>
#include <string>

#include "briarspread/core/upstream.h"

namespace briarspread::bench {

/// The gateway to be measured, and the load.
struct CostProbeSettings {
  /// Process id of the gateway.
  int pid = 0;
  Endpoint gateway;
  std::string path;
  /// Number of connections that are kept open and idle.
  int idle_connections = 200;
  /// Number of concurrent callers, and of requests of all callers together.
  int callers = 16;
  int requests = 8000;
};

/// Resources that a gateway uses, and its throughput.
struct GatewayCost {
  double kilobytes_per_connection = 0;
  double resident_megabytes = 0;
  double processor_us_per_request = 0;
  double requests_per_second = 0;
  std::uint64_t failures = 0;
};

/// Sends requests to a gateway and measures its resources, which it reads from
/// `/proc`. Blocks until all requests have ended.
GatewayCost MeasureGateway(const CostProbeSettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_FORWARD_BENCH_COST_PROBE_H_
