#include "briarspread/forward/rate_reservations.h"

#include <algorithm>

namespace briarspread::forward {

RateReservations::Schedule& RateReservations::ScheduleOf(
    const UpstreamStart& start, Duration interval) {
  const auto [it, is_new] = schedules_.try_emplace(start.id);
  Schedule& schedule = it->second;
  if (is_new || start.start_id > schedule.start_id) {
    // An earlier keeper may have granted a request just now.
    const TimePoint first = clock_.Now() + interval;
    schedule = Schedule{start.start_id, first, first};
  }
  return schedule;
}

RateReservations::Reservation RateReservations::Reserve(
    const UpstreamStart& start, RequestRate rate, Duration max_wait) {
  const double per_second = std::max(rate, settings_.min_rate).value();
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / per_second));
  const TimePoint now = clock_.Now();
  Schedule& schedule = ScheduleOf(start, interval);
  const TimePoint reserved = std::max(schedule.next_free, now);
  if (reserved - now <= max_wait) {
    schedule.next_free = reserved + interval;
    return {true, reserved - now};
  }
  // Those who are turned away come back one at a time.
  const TimePoint retry = std::max(schedule.next_retry, reserved);
  schedule.next_retry = retry + interval;
  return {false, retry - now};
}

void RateReservations::DropOld() {
  const TimePoint oldest = clock_.Now() - settings_.retention;
  std::erase_if(schedules_, [oldest](const auto& entry) {
    return entry.second.next_free < oldest;
  });
}

}  // namespace briarspread::forward
