#ifndef BRIARSPREAD_ROLLOUT_STRAGGLER_POLICY_H_
#define BRIARSPREAD_ROLLOUT_STRAGGLER_POLICY_H_

#include <cstdint>

#include "briarspread/core/clock.h"
#include "briarspread/rollout/duration_window.h"

namespace briarspread {

/// Settings of `StragglerPolicy`.
struct StragglerSettings {
  /// Whether a hedge is started for a straggler.
  bool is_enabled = true;
  /// A run is a straggler once it has taken this many times the usual duration.
  double slow_factor = 1.1;
  /// Quantile of the recent durations that is used as the usual duration.
  double usual_quantile = 0.9;
  /// Minimum number of known durations before any run counts as a straggler.
  std::size_t min_history = 16;
  /// Maximum number of tokens spent on hedges, as a share of the
  /// tokens of finished samples.
  double cost_cap = 0.1;
};

/// Decides for which runs a hedge, a second run on another replica, is started.
/// The run that finishes first provides the sample. Thread-safe.
class StragglerPolicy {
 public:
  explicit StragglerPolicy(const StragglerSettings& settings)
      : settings_(settings) {}

  /// Returns the duration after which a run is a straggler; zero if no run
  /// counts as a straggler.
  Duration StragglerThreshold(const DurationWindow& durations) const;
  /// Returns whether one more hedge of about `tokens` tokens stays within the
  /// cap if hedges have used `spent` tokens and the finished samples have
  /// `all_tokens`.
  bool IsWithinCap(std::uint64_t spent, std::uint64_t tokens,
                   std::uint64_t all_tokens) const;

 private:
  const StragglerSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STRAGGLER_POLICY_H_
