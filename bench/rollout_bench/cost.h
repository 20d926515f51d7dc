#ifndef BENCH_ROLLOUT_BENCH_COST_H_
#define BENCH_ROLLOUT_BENCH_COST_H_

#include <cstdint>

namespace briarspread::bench {

/// What decisions cost on one core.
struct DecisionCost {
  std::uint32_t trainers = 0;
  std::uint64_t samples_per_step = 0;
  /// Microseconds to choose a sample and take its result.
  double run_us = 0;
  /// Microseconds for a pull that hands over one group.
  double pull_us = 0;
  /// Microseconds to write and read a cursor.
  double cursor_us = 0;
  /// Bytes of a cursor's text.
  std::uint64_t cursor_bytes = 0;
};

/// Measures a scheduler with `trainers` trainers, each with two steps of
/// `groups` groups, with 512 runs at once.
DecisionCost MeasureCost(std::uint32_t trainers, std::uint32_t groups,
                         std::uint32_t samples_per_group);

}  // namespace briarspread::bench

#endif  // BENCH_ROLLOUT_BENCH_COST_H_
