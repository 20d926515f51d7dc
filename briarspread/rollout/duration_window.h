#ifndef BRIARSPREAD_ROLLOUT_DURATION_WINDOW_H_
#define BRIARSPREAD_ROLLOUT_DURATION_WINDOW_H_

#include <array>
#include <cstddef>

#include "briarspread/core/clock.h"

namespace briarspread {

/// The latest durations of one kind of work, used for estimates. Not
/// thread-safe.
class DurationWindow {
 public:
  /// Maximum number of durations; the oldest one is replaced by a new one.
  static constexpr std::size_t kSize = 256;

  void Add(Duration duration);
  /// The number of durations in the window.
  std::size_t count() const { return count_; }
  /// Returns the mean of the durations; zero if there are none.
  Duration Mean() const;
  /// Returns the duration that the fraction `share` of the durations do not
  /// exceed; zero if there are none. Precondition: `share` is in [0, 1].
  Duration Quantile(double share) const;

 private:
  std::array<Duration, kSize> durations_{};
  std::size_t count_ = 0;
  std::size_t next_ = 0;
  Duration sum_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_DURATION_WINDOW_H_
