#include "briarspread/forward/stop_schedule.h"

#include <algorithm>

#include "briarspread/routing/load_estimate.h"

namespace briarspread::forward {

std::optional<Duration> EstimateRequestTime(const RoutingTable& table,
                                            const ServiceName& service,
                                            TimePoint now) {
  Duration longest{0};
  std::optional<Duration> wait;
  for (const UpstreamView& upstream : table.upstreams) {
    if (upstream.listed.serves != service.value()) continue;
    const std::chrono::microseconds average(
        upstream.counters->service_time_us.load());
    longest = std::max<Duration>(longest, average);
    const Duration own_wait = LoadEstimate(upstream).ExpectedWait(now);
    wait = std::min(wait.value_or(own_wait), own_wait);
  }
  if (longest.count() == 0) return std::nullopt;
  return longest + wait.value_or(Duration(0));
}

bool StopSchedule::CanTake(const LateRequest& request, TimePoint now) const {
  // Single requests take longer than the average.
  constexpr int kNumerator = 5;
  constexpr int kDenominator = 4;
  if (!end_.has_value() || request.deadline <= *end_) return true;
  if (!request.expected.has_value()) return request.is_idempotent;
  return now + *request.expected * kNumerator / kDenominator <= *end_;
}

}  // namespace briarspread::forward
