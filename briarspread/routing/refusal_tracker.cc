#include "briarspread/routing/refusal_tracker.h"

#include <algorithm>

namespace briarspread {

RefusalTracker::RefusalTracker(const RefusalTrackerSettings& settings)
    : settings_(settings) {}

void RefusalTracker::OnRefusal(const UpstreamId& upstream,
                               UpstreamCounters& counters, TimePoint now) {
  std::lock_guard lock(mutex_);
  counters.refuses_work = true;
  Refusal& refusal = refusals_[upstream];
  refusal.last = now;
  // Refusals during the hold count as one, as the requests may have been sent
  // together.
  if (now < refusal.hold_end) return;
  const Duration hold =
      std::max(refusal.next_hold, Duration(settings_.initial_hold));
  refusal.hold_end = now + hold;
  refusal.next_hold = std::min(2 * hold, Duration(settings_.max_hold));
}

void RefusalTracker::OnHealthCheck(const UpstreamId& upstream,
                                   UpstreamCounters& counters,
                                   const HealthCheckResult& check,
                                   TimePoint now) {
  std::lock_guard lock(mutex_);
  if (!check.accepts_work) {
    counters.refuses_work = true;
    return;
  }
  const auto it = refusals_.find(upstream);
  if (it != refusals_.end()) {
    if (now < it->second.hold_end || check.started <= it->second.last) return;
  }
  counters.refuses_work = false;
}

void RefusalTracker::RemoveUpstream(const UpstreamId& upstream) {
  std::lock_guard lock(mutex_);
  refusals_.erase(upstream);
}

}  // namespace briarspread
