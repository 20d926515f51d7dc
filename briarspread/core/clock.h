#ifndef BRIARSPREAD_CORE_CLOCK_H_
#define BRIARSPREAD_CORE_CLOCK_H_

#include <time.h>

#include <chrono>

namespace briarspread {

using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::nanoseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns a duration in seconds, for metrics. Thread-safe.
inline double SecondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Source of the current time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the machine's monotonic time. Comparable only with other values of
  /// this function on the same machine.
  virtual TimePoint Now() const = 0;
  /// Returns the machine's monotonic time including time spent in suspension.
  /// For leases that expire. Comparable only with other values of this
  /// function.
  virtual TimePoint NowWithSuspension() const { return Now(); }
  /// Returns the time of day, for logs and records that people read.
  virtual WallTime WallNow() const = 0;
};

/// Clock that reads the operating system's clocks.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  TimePoint NowWithSuspension() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_CLOCK_H_
