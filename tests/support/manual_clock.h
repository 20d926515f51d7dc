#ifndef TESTS_SUPPORT_MANUAL_CLOCK_H_
#define TESTS_SUPPORT_MANUAL_CLOCK_H_

#include <atomic>

#include "briarspread/core/clock.h"

namespace briarspread::testing {

/// A clock that moves only when a test advances it. Thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override {
    return TimePoint(std::chrono::nanoseconds(elapsed_.load()));
  }
  WallTime WallNow() const override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        std::chrono::nanoseconds(elapsed_.load())));
  }
  /// Moves the clock forward by `step`.
  void Advance(Duration step) { elapsed_ += step.count(); }

 private:
  /// Current time in nanoseconds since the epoch of the clock. Starts at one
  /// hour, so that tests can use times before the start.
  std::atomic<std::int64_t> elapsed_{3'600'000'000'000};
};

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_MANUAL_CLOCK_H_
