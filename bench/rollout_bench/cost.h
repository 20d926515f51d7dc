#ifndef BENCH_ROLLOUT_BENCH_COST_H_
#define BENCH_ROLLOUT_BENCH_COST_H_

#include <cstdint>

namespace briarspread::bench {

/// CPU cost of scheduling decisions on one core.
struct DecisionCost {
  std::uint32_t trainers = 0;
  std::uint64_t samples_per_step = 0;
  /// Microseconds to choose a sample and record its result.
  double run_us = 0;
  /// Microseconds for a pull that returns one group.
  double pull_us = 0;
  /// Microseconds to encode and decode a cursor.
  double cursor_us = 0;
  /// Length of a cursor's text in bytes.
  std::uint64_t cursor_bytes = 0;
};

/// Measures a scheduler with `trainers` trainers, each with two steps of
/// `groups` groups, and 512 concurrent runs.
DecisionCost MeasureCost(std::uint32_t trainers, std::uint32_t groups,
                         std::uint32_t samples_per_group);

}  // namespace briarspread::bench

#endif  // BENCH_ROLLOUT_BENCH_COST_H_
