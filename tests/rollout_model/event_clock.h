#ifndef TESTS_ROLLOUT_MODEL_EVENT_CLOCK_H_
#define TESTS_ROLLOUT_MODEL_EVENT_CLOCK_H_

#include <functional>
#include <map>
#include <utility>

#include "briarspread/core/clock.h"

namespace briarspread::testing {

/// A clock that advances to the time of each next event. Not thread-safe.
class EventClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        now_.time_since_epoch()));
  }

  /// Schedules `action` for `time`, after actions already scheduled for the
  /// same time.
  void ScheduleAt(TimePoint time, std::function<void()> action) {
    events_.emplace(std::max(time, now_), std::move(action));
  }
  /// Schedules `action` for the time after `delay`.
  void ScheduleAfter(Duration delay, std::function<void()> action) {
    ScheduleAt(now_ + delay, std::move(action));
  }
  /// Advances to the next event and runs it. Returns false if there is none.
  bool RunNext() {
    if (events_.empty()) return false;
    auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
    return true;
  }

 private:
  /// Not zero at the start, so that earlier times can be represented.
  TimePoint now_{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> events_;
};

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_EVENT_CLOCK_H_
