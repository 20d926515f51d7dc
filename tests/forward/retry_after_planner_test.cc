#include "briarspread/forward/retry_after_planner.h"

#include <catch2/catch.hpp>
#include <queue>
#include <vector>

#include "tests/forward/forward_fixture.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

const ServiceName kService("s");

/// Returns the retry time of a caller that is refused now; `time_until_free` is
/// the time until a slot is free.
using RetryDelayFunction = std::function<Duration(Duration time_until_free)>;

/// Results of a burst of callers.
struct BurstOutcome {
  int served_at_retry = 0;
  int refused_again = 0;
  /// Callers that were served at their retry right after a caller that had been
  /// refused later than they were.
  int out_of_order = 0;
};

/// Simulates callers that all arrive at once at a service with a number of
/// slots; each request occupies a slot for the service time. There is no queue:
/// a caller that finds no free slot is refused and retries once, after the
/// retry time that it received.
class BurstSimulation {
 public:
  BurstSimulation(ManualClock& clock, int callers, int slots,
                  Duration service_time)
      : clock_(clock),
        callers_(callers),
        service_time_(service_time),
        busy_until_(static_cast<std::size_t>(slots)) {}

  BurstOutcome Run(const RetryDelayFunction& retry_delay) {
    const TimePoint begin = clock_.Now();
    std::vector<std::pair<TimePoint, int>> retries;
    for (int caller = 0; caller < callers_; ++caller) {
      if (TryServe(begin)) continue;
      retries.emplace_back(begin + retry_delay(TimeUntilFree(begin)), caller);
    }
    std::stable_sort(retries.begin(), retries.end());
    BurstOutcome outcome;
    int last = -1;
    for (const auto& [at, caller] : retries) {
      if (!TryServe(at)) {
        ++outcome.refused_again;
        continue;
      }
      ++outcome.served_at_retry;
      outcome.out_of_order += caller < last;
      last = caller;
    }
    return outcome;
  }

 private:
  bool TryServe(TimePoint at) {
    for (TimePoint& until : busy_until_) {
      if (until > at) continue;
      until = at + service_time_;
      return true;
    }
    return false;
  }
  Duration TimeUntilFree(TimePoint now) const {
    return *std::min_element(busy_until_.begin(), busy_until_.end()) - now;
  }

  ManualClock& clock_;
  const int callers_;
  const Duration service_time_;
  std::vector<TimePoint> busy_until_;
};

TEST_CASE("callers refused together are served at their first retry") {
  constexpr int kCallers = 200;
  constexpr int kSlots = 12;
  constexpr milliseconds kServiceTime{100};
  ManualClock clock;
  SeededRandom random(5);
  // With the same retry time for all callers, only as many retries are served
  // as there are slots.
  const BurstOutcome constant =
      BurstSimulation(clock, kCallers, kSlots, kServiceTime).Run([](Duration) {
        return milliseconds(200);
      });
  REQUIRE(constant.served_at_retry == kSlots);
  REQUIRE(constant.refused_again == kCallers - 2 * kSlots);

  RetryAfterPlanner planner(RetryAfterPlannerSettings{}, clock, random);
  const BurstOutcome planned =
      BurstSimulation(clock, kCallers, kSlots, kServiceTime)
          .Run([&](Duration busy) {
            return planner.Plan(kService, {busy, kServiceTime / kSlots});
          });
  // At least nine in ten retries are served, in the order in which the callers
  // were refused.
  REQUIRE(planned.served_at_retry >= (kCallers - kSlots) * 9 / 10);
  REQUIRE(planned.out_of_order == 0);
}

TEST_CASE("slots are shared with the other instances") {
  ManualClock clock;
  SeededRandom random(5);
  RetryAfterPlanner planner(RetryAfterPlannerSettings{}, clock, random);
  planner.SetInstances(7);
  const SlotAvailability availability{milliseconds(300), milliseconds(10)};
  const Duration first = planner.Plan(kService, availability);
  REQUIRE(first == milliseconds(300));
  REQUIRE(planner.Plan(kService, availability) - first == milliseconds(70));
  // The slots of another service are assigned independently.
  REQUIRE(planner.Plan(ServiceName("t"), availability) == first);
  // Slots that became free in the past are no longer assigned.
  clock.Advance(seconds(5));
  REQUIRE(planner.Plan(kService, availability) == first);
}

TEST_CASE(
    "retry times are bounded, and long for a request that crashes upstreams") {
  ManualClock clock;
  SeededRandom random(5);
  const RetryAfterPlannerSettings settings;
  RetryAfterPlanner planner(settings, clock, random);
  const SlotAvailability availability{milliseconds(0), milliseconds(500)};
  for (int i = 0; i < 100; ++i) {
    const Duration delay = planner.Plan(kService, availability);
    REQUIRE(delay >= settings.min_delay);
    REQUIRE(delay <= settings.max_delay + 2 * settings.min_delay);
  }
  REQUIRE(planner.PlanAfterCrashes(std::nullopt) >= settings.crash_delay);
  const Duration until_trial = seconds(4);
  REQUIRE(planner.PlanAfterCrashes(until_trial) >= until_trial);
  REQUIRE(planner.PlanAfterCrashes(until_trial) < settings.crash_delay);
  REQUIRE(planner.PlanWithoutAvailability() >= settings.min_delay);
}

TEST_CASE("the availability of a service follows the load of its upstreams") {
  ForwardFixture fixture;
  FakeUpstream upstream(
      fixture.loop,
      [](const proxy::Request&, const std::shared_ptr<proxy::Responder>&) {});
  const auto availability = [&fixture] {
    return EstimateAvailability(fixture.directory.table(), kService,
                                fixture.clock.Now());
  };
  const SlotAvailability unavailable = availability();
  REQUIRE(unavailable.wait >= milliseconds(500));
  fixture.Add("u", upstream, {}, 4);
  REQUIRE(availability().wait == Duration(0));
  // Four slots of 100 ms each, the service time that is assumed until one was
  // measured.
  REQUIRE(availability().interval == milliseconds(25));
  fixture.directory.UpdateLoad(UpstreamId("u"), "4,4,4");
  REQUIRE(availability().wait > milliseconds(100));
  fixture.directory.MarkLeaving(UpstreamId("u"));
  REQUIRE(availability().wait == unavailable.wait);
}

}  // namespace
}  // namespace briarspread::forward
