#include "briarspread/forward/retry_after_planner.h"

#include <algorithm>

#include "briarspread/routing/load_estimate.h"

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
  bool has_upstream = false;
  SlotAvailability availability;
  double slots_per_ns = 0;
  for (const UpstreamView& upstream : table.upstreams) {
    const bool accepts_requests =
        upstream.listed.serves == service.value() &&
        upstream.listed.state != ListedState::kLeaving &&
        (upstream.breaker == nullptr || upstream.breaker->Allows(now));
    if (!accepts_requests) continue;
    const LoadEstimate load(upstream);
    const Duration wait = load.ExpectedWait(now);
    availability.wait = has_upstream ? std::min(availability.wait, wait) : wait;
    has_upstream = true;
    slots_per_ns += static_cast<double>(load.Slots()) /
                    static_cast<double>(ServiceTimeOf(upstream).count());
  }
  if (!has_upstream) return SlotAvailability{kAssumedWait, kAssumedInterval};
  availability.interval =
      Duration(static_cast<std::int64_t>(1.0 / slots_per_ns));
  return availability;
}

Duration RetryAfterPlanner::AddJitter(Duration delay) {
  const auto parts = static_cast<std::uint64_t>(delay.count()) + 1;
  return delay + Duration(static_cast<std::int64_t>(random_.Next() % parts));
}

Duration RetryAfterPlanner::Plan(const ServiceName& service,
                                 const SlotAvailability& availability) {
  const TimePoint now = clock_.Now();
  const Duration interval =
      availability.interval * static_cast<std::int64_t>(instances_);
  const TimePoint earliest =
      now + std::max<Duration>(availability.wait, settings_.min_delay);
  const auto it = last_slots_.find(service);
  TimePoint slot = earliest;
  if (it != last_slots_.end()) slot = std::max(slot, it->second + interval);
  if (slot > now + settings_.max_delay) {
    // More callers were refused than slots become free within the maximum time.
    return settings_.max_delay + AddJitter(settings_.min_delay);
  }
  last_slots_[service] = slot;
  return slot - now;
}

Duration RetryAfterPlanner::PlanAfterCrashes(
    std::optional<Duration> until_trial) {
  const Duration usual = settings_.crash_delay;
  return std::min(until_trial.value_or(usual), usual) +
         AddJitter(settings_.min_delay);
}

Duration RetryAfterPlanner::PlanWithoutAvailability() {
  return AddJitter(kAssumedWait / 2);
}

}  // namespace briarspread::forward
