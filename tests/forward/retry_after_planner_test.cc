#include "briarspread/forward/retry_after_planner.h"

#include <catch2/catch.hpp>
#include <queue>
#include <vector>

#include "tests/forward/forward_world.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

const ServiceName kService("s");

/// Tells when a caller refused now is to come back.
using Policy = std::function<Duration(Duration busy_for)>;

/// What came of a burst of callers.
struct BurstOutcome {
  int served_at_return = 0;
  int refused_again = 0;
  /// Of those served at their first return, pairs out of the order in which
  /// they were refused.
  int out_of_order = 0;
};

/// Plays callers that all come at once at a service of some places, each taken
/// for the service time. Nobody waits: a caller that finds no place is refused,
/// and comes back once when it was told.
class Burst {
 public:
  Burst(ManualClock& clock, int callers, int places, Duration service_time)
      : clock_(clock),
        callers_(callers),
        service_time_(service_time),
        busy_until_(static_cast<std::size_t>(places)) {}

  BurstOutcome Play(const Policy& policy) {
    const TimePoint begin = clock_.Now();
    std::vector<std::pair<TimePoint, int>> returns;
    for (int caller = 0; caller < callers_; ++caller) {
      if (Take(begin)) continue;
      returns.emplace_back(begin + policy(BusyFor(begin)), caller);
    }
    std::stable_sort(returns.begin(), returns.end());
    BurstOutcome outcome;
    int last = -1;
    for (const auto& [at, caller] : returns) {
      if (!Take(at)) {
        ++outcome.refused_again;
        continue;
      }
      ++outcome.served_at_return;
      outcome.out_of_order += caller < last;
      last = caller;
    }
    return outcome;
  }

 private:
  bool Take(TimePoint at) {
    for (TimePoint& until : busy_until_) {
      if (until > at) continue;
      until = at + service_time_;
      return true;
    }
    return false;
  }
  Duration BusyFor(TimePoint now) const {
    return *std::min_element(busy_until_.begin(), busy_until_.end()) - now;
  }

  ManualClock& clock_;
  const int callers_;
  const Duration service_time_;
  std::vector<TimePoint> busy_until_;
};

TEST_CASE("callers refused together are served when they come back") {
  constexpr int kCallers = 200;
  constexpr int kPlaces = 12;
  constexpr milliseconds kServiceTime{100};
  ManualClock clock;
  SeededRandom random(5);
  // The same load, told one time for all: a round of places is served.
  const BurstOutcome constant =
      Burst(clock, kCallers, kPlaces, kServiceTime).Play([](Duration) {
        return milliseconds(200);
      });
  REQUIRE(constant.served_at_return == kPlaces);
  REQUIRE(constant.refused_again == kCallers - 2 * kPlaces);

  RetryAfterPlanner planner(RetryAfterPlannerSettings{}, clock, random);
  const BurstOutcome planned =
      Burst(clock, kCallers, kPlaces, kServiceTime).Play([&](Duration busy) {
        return planner.Plan(kService, {busy, kServiceTime / kPlaces});
      });
  // At least nine in ten, in the order in which they were refused.
  REQUIRE(planned.served_at_return >= (kCallers - kPlaces) * 9 / 10);
  REQUIRE(planned.out_of_order == 0);
}

TEST_CASE("places are shared with the other instances") {
  ManualClock clock;
  SeededRandom random(5);
  RetryAfterPlanner planner(RetryAfterPlannerSettings{}, clock, random);
  planner.SetInstances(7);
  const SlotAvailability room{milliseconds(300), milliseconds(10)};
  const Duration first = planner.Plan(kService, room);
  REQUIRE(first == milliseconds(300));
  REQUIRE(planner.Plan(kService, room) - first == milliseconds(70));
  // Another service has places of its own.
  REQUIRE(planner.Plan(ServiceName("t"), room) == first);
  // Time goes on, and places that were not taken are gone.
  clock.Advance(seconds(5));
  REQUIRE(planner.Plan(kService, room) == first);
}

TEST_CASE("a caller is told a bounded time, and one that crashes a long one") {
  ManualClock clock;
  SeededRandom random(5);
  const RetryAfterPlannerSettings settings;
  RetryAfterPlanner planner(settings, clock, random);
  const SlotAvailability room{milliseconds(0), milliseconds(500)};
  for (int i = 0; i < 100; ++i) {
    const Duration told = planner.Plan(kService, room);
    REQUIRE(told >= settings.min_delay);
    REQUIRE(told <= settings.max_delay + 2 * settings.min_delay);
  }
  REQUIRE(planner.PlanForCrashingRequest() >= settings.crash_delay);
  REQUIRE(planner.PlanWithoutAvailability() >= settings.min_delay);
}

TEST_CASE("the room of a service follows its upstreams") {
  ForwardWorld world;
  FakeUpstream upstream(
      world.loop,
      [](const proxy::Request&, const std::shared_ptr<proxy::Responder>&) {});
  const auto room = [&world] {
    return EstimateAvailability(world.directory.table(), kService,
                                world.clock.Now());
  };
  const SlotAvailability nobody = room();
  REQUIRE(nobody.wait >= milliseconds(500));
  world.Add("u", upstream, {}, 4);
  REQUIRE(room().wait == Duration(0));
  // Four places of 100 ms each, as long as nothing was measured.
  REQUIRE(room().interval == milliseconds(25));
  world.directory.UpdateLoad(UpstreamId("u"), "4,4,4");
  REQUIRE(room().wait > milliseconds(100));
  world.directory.MarkLeaving(UpstreamId("u"));
  REQUIRE(room().wait == nobody.wait);
}

}  // namespace
}  // namespace briarspread::forward
