#ifndef BENCH_ROUTING_BENCH_DECISION_BENCH_H_
#define BENCH_ROUTING_BENCH_DECISION_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace briarspread::bench {

/// Durations of the routing decisions in one scenario.
struct DecisionResult {
  /// Name of the scenario.
  std::string name;
  double p50_us = 0;
  double p99_us = 0;
  double max_us = 0;
  double mean_us = 0;
  /// Calls of `operator new` per decision.
  double allocations = 0;
  /// Fraction of the decisions that chose an upstream.
  double chosen = 0;
};

/// Measures the duration of single routing decisions in fleets of `replicas`
/// replicas, in all scenarios.
std::vector<DecisionResult> RunDecisionBench(std::uint64_t seed, int replicas);

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_DECISION_BENCH_H_
