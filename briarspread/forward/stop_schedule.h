#ifndef BRIARSPREAD_FORWARD_STOP_SCHEDULE_H_
#define BRIARSPREAD_FORWARD_STOP_SCHEDULE_H_

#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::forward {

/// Returns how long a request of `service` takes if it is sent at `now`: the
/// longest average of its upstreams, after the shortest wait for a slot.
/// Nothing while no upstream has completed a request. Thread-safe if the table
/// does not change.
std::optional<Duration> EstimateRequestTime(const RoutingTable& table,
                                            const ServiceName& service,
                                            TimePoint now);

/// A request that arrives at an instance that stops.
struct LateRequest {
  /// Whether the caller may send it again after it was cut.
  bool is_idempotent = false;
  TimePoint deadline{};
  /// How long it takes, as far as that is known.
  std::optional<Duration> expected;
};

/// Decides which requests an instance that stops still takes. A caller whose
/// request is refused in time is served elsewhere; one whose request is cut at
/// the end loses it, if the request must run at most once. Not thread-safe.
class StopSchedule final {
 public:
  /// Begins the stop. At `end`, requests without a response get one that says
  /// so; responses that have begun are cut soon after.
  void Begin(TimePoint end) { end_ = end; }

  /// Whether the stop has begun.
  bool has_begun() const { return end_.has_value(); }

  /// Whether a request that arrives at `now` is taken. Always true before the
  /// stop.
  bool CanTake(const LateRequest& request, TimePoint now) const;

 private:
  /// Nothing before the stop.
  std::optional<TimePoint> end_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_STOP_SCHEDULE_H_
