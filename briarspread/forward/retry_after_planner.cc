#include "briarspread/forward/retry_after_planner.h"

#include <algorithm>

#include "briarspread/routing/load_view.h"

namespace briarspread::forward {
namespace {

/// Usual time until an upstream that does not accept requests registers again.
constexpr milliseconds kAssumedWait{1000};
/// Assumed time between two slots becoming free where no upstream accepts
/// requests.
constexpr milliseconds kAssumedInterval{20};
constexpr Duration kAssumedServiceTime = milliseconds(100);

Duration ServiceTimeOf(const UpstreamView& upstream) {
  const std::uint32_t measured = upstream.counters->service_time_us.load();
  return measured == 0 ? kAssumedServiceTime
                       : Duration(std::chrono::microseconds(measured));
}

}  // namespace

SlotAvailability EstimateAvailability(const RoutingTable& table,
                                      const ServiceName& service,
                                      TimePoint now) {
  bool is_any = false;
  SlotAvailability room;
  double places_per_ns = 0;
  for (const UpstreamView& upstream : table.upstreams) {
    const bool takes =
        upstream.listed.serves == service.value() &&
        upstream.listed.state != ListedState::kLeaving &&
        (upstream.breaker == nullptr || upstream.breaker->Allows(now));
    if (!takes) continue;
    const LoadView load(upstream);
    const Duration wait = load.ExpectedWait();
    room.wait = is_any ? std::min(room.wait, wait) : wait;
    is_any = true;
    places_per_ns += static_cast<double>(load.Slots()) /
                     static_cast<double>(ServiceTimeOf(upstream).count());
  }
  if (!is_any) return SlotAvailability{kAssumedWait, kAssumedInterval};
  room.interval = Duration(static_cast<std::int64_t>(1.0 / places_per_ns));
  return room;
}

Duration RetryAfterPlanner::AddJitter(Duration least) {
  const auto parts = static_cast<std::uint64_t>(least.count()) + 1;
  return least + Duration(static_cast<std::int64_t>(random_.Next() % parts));
}

Duration RetryAfterPlanner::Plan(const ServiceName& service,
                                 const SlotAvailability& room) {
  const TimePoint now = clock_.Now();
  const Duration interval =
      room.interval * static_cast<std::int64_t>(instances_);
  const TimePoint earliest =
      now + std::max<Duration>(room.wait, settings_.min_delay);
  const auto it = last_assigned_slots_.find(service);
  TimePoint place = earliest;
  if (it != last_assigned_slots_.end())
    place = std::max(place, it->second + interval);
  if (place > now + settings_.max_delay) {
    // More callers were refused than slots become free within the maximum time.
    return settings_.max_delay + AddJitter(settings_.min_delay);
  }
  last_assigned_slots_[service] = place;
  return place - now;
}

Duration RetryAfterPlanner::PlanForCrashingRequest() {
  return settings_.crash_delay + AddJitter(settings_.min_delay);
}

Duration RetryAfterPlanner::PlanWithoutAvailability() {
  return AddJitter(kAssumedWait / 2);
}

}  // namespace briarspread::forward
