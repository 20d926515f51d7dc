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

/// A span of time in seconds, for metrics. Thread-safe.
inline double SecondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Tells the time. Implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Monotonic time of this machine; compares only with its own values.
  virtual TimePoint Now() const = 0;
  /// As `Now`, but time goes on while the machine is suspended. For rights that
  /// lapse; compares only with its own values.
  virtual TimePoint NowWithSuspension() const { return Now(); }
  /// Time of day, for logs and records that people read.
  virtual WallTime WallNow() const = 0;
};

/// The machine's clocks.
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
