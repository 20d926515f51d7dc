#ifndef BRIARSPREAD_FORWARD_RETRY_AFTER_PLANNER_H_
#define BRIARSPREAD_FORWARD_RETRY_AFTER_PLANNER_H_

#include <map>
#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/random_source.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::forward {

/// Estimated availability of slots at the upstreams of a service.
struct SlotAvailability {
  /// Estimated time until a slot is free; zero where one is free now.
  Duration wait{0};
  /// Mean time between two slots becoming free, over all upstreams of the
  /// service.
  Duration interval{0};
};

/// Estimates when slots of a service become free, from its upstreams in
/// `table`. Where none of them accepts requests, assumes the time in which an
/// upstream usually registers again. Thread-safe if the table does not change.
SlotAvailability EstimateAvailability(const RoutingTable& table,
                                      const ServiceName& service,
                                      TimePoint now);

/// Bounds on the retry times that a planner returns.
struct RetryAfterPlannerSettings {
  /// Minimum and maximum retry time of a caller, except for a request that
  /// crashes upstreams. Where more callers are refused than slots become free
  /// within `max_delay`, a caller gets `max_delay` plus one to two times
  /// `min_delay`.
  milliseconds min_delay{100};
  milliseconds max_delay{8000};
  /// Minimum time for a request that crashes upstreams, unless it may be tried
  /// sooner.
  milliseconds crash_delay{30000};
};

/// Chooses the `Retry-After` time of refused callers. Callers that are refused
/// at the same moment would all retry together if they got the same time, and
/// most would be refused again. So each caller is assigned one of the slots
/// that become free, in the order in which callers are refused. The other
/// instances are assumed to refuse as many callers as this one, so that the
/// slots are shared evenly among the instances. Not thread-safe.
class RetryAfterPlanner final {
 public:
  /// Precondition: references outlive this object.
  RetryAfterPlanner(const RetryAfterPlannerSettings& settings,
                    const Clock& clock, RandomSource& random)
      : settings_(settings), clock_(clock), random_(random) {}

  /// Sets the number of instances that refuse callers of the same services;
  /// zero counts as one.
  void SetInstances(std::size_t count) { instances_ = count == 0 ? 1 : count; }

  /// Returns the time after which a caller of `service` that is refused now
  /// should retry.
  Duration Plan(const ServiceName& service,
                const SlotAvailability& availability);
  /// Returns the retry time of a request that crashes upstreams, and may be
  /// tried again after `until_trial`, if at all.
  Duration PlanAfterCrashes(std::optional<Duration> until_trial);
  /// Returns the retry time where no availability is known, for example before
  /// the first configuration.
  Duration PlanWithoutAvailability();

 private:
  /// Returns a random time between `delay` and twice `delay`.
  Duration AddJitter(Duration delay);

  const RetryAfterPlannerSettings settings_;
  const Clock& clock_;
  RandomSource& random_;
  std::size_t instances_ = 1;
  /// When the slot that was assigned last becomes free, by service.
  std::map<ServiceName, TimePoint> last_slots_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RETRY_AFTER_PLANNER_H_
