#include "briarspread/batch/stall_timeout.h"

#include <algorithm>

namespace briarspread::batch {
namespace {

/// Number of usual event intervals that a stream may stay without an event.
constexpr int kMaxMissedEvents = 8;
/// Maximum number of doublings.
constexpr std::size_t kMaxDoublings = 3;

}  // namespace

Duration StallTimeout(Duration min_timeout, Duration event_interval,
                      std::size_t stalled_runs) {
  const Duration base_timeout =
      std::max<Duration>(min_timeout, kMaxMissedEvents * event_interval);
  // The first stalled run does not double the time, since its engine may have
  // crashed.
  const std::size_t doublings =
      std::min(stalled_runs > 0 ? stalled_runs - 1 : 0, kMaxDoublings);
  return base_timeout * (std::int64_t{1} << doublings);
}

}  // namespace briarspread::batch
