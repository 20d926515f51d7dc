#include "briarspread/forward/return_planner.h"

#include <algorithm>

#include "briarspread/routing/load_estimate.h"

namespace briarspread::forward {
namespace {

/// An upstream that is away registers again within about this time.
constexpr milliseconds kUnknownWait{1000};
/// Between two places where no upstream's speed is known.
constexpr milliseconds kUnknownInterval{20};
constexpr Duration kAssumedServiceTime = milliseconds(100);

Duration ServiceTimeOf(const UpstreamView& upstream) {
  const std::uint32_t measured = upstream.counters->service_time_us.load();
  return measured == 0 ? kAssumedServiceTime
                       : Duration(std::chrono::microseconds(measured));
}

}  // namespace

ServiceRoom RoomOf(const RoutingTable& table, const ServiceName& service,
                   TimePoint now) {
  bool is_any = false;
  ServiceRoom room;
  double places_per_ns = 0;
  for (const UpstreamView& upstream : table.upstreams) {
    const bool takes =
        upstream.listed.serves == service.value() &&
        upstream.listed.state != ListedState::kLeaving &&
        (upstream.breaker == nullptr || upstream.breaker->Allows(now));
    if (!takes) continue;
    const LoadEstimate load(upstream);
    const Duration wait = load.ExpectedWait();
    room.wait = is_any ? std::min(room.wait, wait) : wait;
    is_any = true;
    places_per_ns += static_cast<double>(load.Slots()) /
                     static_cast<double>(ServiceTimeOf(upstream).count());
  }
  if (!is_any) return ServiceRoom{kUnknownWait, kUnknownInterval};
  room.interval = Duration(static_cast<std::int64_t>(1.0 / places_per_ns));
  return room;
}

Duration ReturnPlanner::Spread(Duration least) {
  const auto parts = static_cast<std::uint64_t>(least.count()) + 1;
  return least + Duration(static_cast<std::int64_t>(random_.Next() % parts));
}

Duration ReturnPlanner::Plan(const ServiceName& service,
                             const ServiceRoom& room) {
  const TimePoint now = clock_.Now();
  const Duration interval =
      room.interval * static_cast<std::int64_t>(instances_);
  const TimePoint earliest =
      now + std::max<Duration>(room.wait, settings_.least);
  const auto it = last_.find(service);
  TimePoint place = earliest;
  if (it != last_.end()) place = std::max(place, it->second + interval);
  if (place > now + settings_.most) {
    // More have been refused than the longest time has places for.
    return settings_.most + Spread(settings_.least);
  }
  last_[service] = place;
  return place - now;
}

Duration ReturnPlanner::PlanAfterCrashes() {
  return settings_.after_crashes + Spread(settings_.least);
}

Duration ReturnPlanner::PlanUnknown() { return Spread(kUnknownWait / 2); }

}  // namespace briarspread::forward
