#ifndef BRIARSPREAD_ROLLOUT_STRAGGLER_POLICY_H_
#define BRIARSPREAD_ROLLOUT_STRAGGLER_POLICY_H_

#include <cstdint>

#include "briarspread/core/clock.h"
#include "briarspread/rollout/duration_window.h"

namespace briarspread {

/// Settings of `StragglerPolicy`.
struct StragglerSettings {
  /// Whether stragglers are run a second time.
  bool is_enabled = true;
  /// A run is a straggler once it took this many times the usual duration.
  double slow_factor = 1.3;
  /// The quantile of recent durations that counts as usual.
  double usual_quantile = 0.9;
  /// Durations to have seen before any run is called a straggler.
  std::size_t min_history = 16;
  /// The most tokens spent on second runs, as a share of a step's tokens.
  double cost_cap = 0.1;
};

/// Decides which runs are run a second time on another replica. The first
/// finisher wins. Thread-safe.
class StragglerPolicy {
 public:
  explicit StragglerPolicy(const StragglerSettings& settings)
      : settings_(settings) {}

  /// How long a run may take before it is a straggler; zero where no run is.
  Duration SlowAfter(const DurationWindow& durations) const;
  /// Whether one more second run of about `tokens` stays below the cap, where
  /// second runs took `spent` tokens and the step takes `step_tokens`.
  bool IsWithinCap(std::uint64_t spent, std::uint64_t tokens,
                   std::uint64_t step_tokens) const;

 private:
  const StragglerSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STRAGGLER_POLICY_H_
