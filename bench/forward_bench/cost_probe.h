#ifndef BENCH_FORWARD_BENCH_COST_PROBE_H_
#define BENCH_FORWARD_BENCH_COST_PROBE_H_

#include <cstdint>
#include <string>

#include "briarspread/core/upstream.h"

namespace briarspread::bench {

/// What is measured, and how.
struct CostProbeSettings {
  /// The process of the gateway.
  int pid = 0;
  Endpoint gateway;
  std::string path;
  /// Connections that are kept open without a request.
  int idle_connections = 200;
  /// Callers at once, and requests of all.
  int callers = 16;
  int requests = 8000;
};

/// What a gateway spends.
struct GatewayCost {
  double kilobytes_per_connection = 0;
  double resident_megabytes = 0;
  double processor_us_per_request = 0;
  double requests_per_second = 0;
  std::uint64_t failures = 0;
};

/// Measures a gateway from outside, by /proc and its answers.
GatewayCost MeasureGateway(const CostProbeSettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_FORWARD_BENCH_COST_PROBE_H_
