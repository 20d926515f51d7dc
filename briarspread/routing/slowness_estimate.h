#ifndef BRIARSPREAD_ROUTING_SLOWNESS_ESTIMATE_H_
#define BRIARSPREAD_ROUTING_SLOWNESS_ESTIMATE_H_

#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Estimates how long work currently takes on an upstream's machine, relative
/// to what is usual there, from readings that the upstream sends. Readings
/// change many times a second, so the estimate is a mean whose weights decrease
/// with the readings' age, together with a fixed weight for the expected value.
/// One reading therefore changes the estimate only in part, and without new
/// readings the estimate returns to the expected value. Without any reading it
/// is exactly the expected value. Not thread-safe.
class SlownessEstimate {
 public:
  /// Records that work takes `percent` of its usual time. Ignores zero.
  void Record(std::uint32_t percent, TimePoint now);
  /// Returns the estimated ratio of the current to the usual time. `expected`
  /// is the ratio to assume without recent readings.
  double At(TimePoint now, double expected = 1.0) const;

 private:
  /// Returns the weight, at `now`, of a reading of weight 1 at `updated_`.
  double Decay(TimePoint now) const;

  /// Sum of the readings' weights, and of the readings times their weights, at
  /// `updated_`.
  double weight_ = 0;
  double weighted_sum_ = 0;
  TimePoint updated_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_SLOWNESS_ESTIMATE_H_
