#ifndef BRIARSPREAD_FORWARD_RETURN_PLANNER_H_
#define BRIARSPREAD_FORWARD_RETURN_PLANNER_H_

#include <map>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/random_source.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::forward {

/// What is known of the room that a service has.
struct ServiceRoom {
  /// When a place is free at the earliest, from now.
  Duration wait{0};
  /// How far apart places become free, over all of its upstreams.
  Duration interval{0};
};

/// The room of a service as the table shows it. Where none of its upstreams
/// takes requests, the time in which one may register again. Thread-safe for a
/// table that does not change.
ServiceRoom RoomOf(const RoutingTable& table, const ServiceName& service,
                   TimePoint now);

/// Settings of the planner.
struct ReturnPlannerSettings {
  /// The shortest and the longest time that a caller is told, but for requests
  /// that may not come back soon.
  milliseconds least{100};
  milliseconds most{8000};
  /// For a request that crashes upstreams.
  milliseconds after_crashes{30000};
};

/// Decides when a caller that was refused may come back. Answers the load of
/// many callers that are refused at the same moment: told the same time, they
/// would come back together and be refused again but for a few. So each is
/// given a place of its own among those that become free, the first refused the
/// first place, and those refused by the other instances are taken to be as
/// many. Holds no thread; not thread-safe.
class ReturnPlanner final {
 public:
  /// Precondition: references outlive this object.
  ReturnPlanner(const ReturnPlannerSettings& settings, const Clock& clock,
                RandomSource& random)
      : settings_(settings), clock_(clock), random_(random) {}

  /// How many instances refuse callers of the same services; one at least.
  void SetInstances(std::size_t n) { instances_ = n == 0 ? 1 : n; }

  /// When a caller that is refused now is to come back, from now.
  Duration Plan(const ServiceName& service, const ServiceRoom& room);
  /// The same for a request that crashes upstreams.
  Duration PlanAfterCrashes();
  /// The same where nothing is known of the room, such as without a
  /// configuration.
  Duration PlanUnknown();

 private:
  /// A time from `least` on, up to twice of it.
  Duration Spread(Duration least);

  const ReturnPlannerSettings settings_;
  const Clock& clock_;
  RandomSource& random_;
  std::size_t instances_ = 1;
  /// The last place given, by service.
  std::map<ServiceName, TimePoint> last_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RETURN_PLANNER_H_
