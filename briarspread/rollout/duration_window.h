#ifndef BRIARSPREAD_ROLLOUT_DURATION_WINDOW_H_
#define BRIARSPREAD_ROLLOUT_DURATION_WINDOW_H_

#include <array>
#include <cstddef>

#include "briarspread/core/clock.h"

namespace briarspread {

/// The latest durations of one kind of work, for estimates. Not thread-safe.
class DurationWindow {
 public:
  /// Durations kept; older ones are forgotten.
  static constexpr std::size_t kSize = 256;

  /// Adds a duration.
  void Add(Duration duration);
  /// Durations held.
  std::size_t count() const { return count_; }
  /// Their mean; zero where there are none.
  Duration Mean() const;
  /// The duration that `share` of them do not exceed; zero where there are
  /// none. Precondition: `share` is in [0, 1].
  Duration Quantile(double share) const;

 private:
  std::array<Duration, kSize> durations_{};
  std::size_t count_ = 0;
  std::size_t next_ = 0;
  Duration sum_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_DURATION_WINDOW_H_
