#include <catch2/catch.hpp>

#include "briarspread/routing/circuit_breaker_registry.h"
#include "briarspread/routing/refusal_tracker.h"
#include "tests/routing/routing_fixture.h"

namespace briarspread {
namespace {

using testing::LimA;
using testing::MakeEngine;
using testing::ManualClock;
using testing::RoutingFixture;

/// Which signs that an upstream is leaving reach the instance.
struct LeavingSigns {
  bool refusals = true;
  bool health_checks = true;
  /// Whether the health checks of the leaving upstream still succeed.
  bool health_checks_succeed = false;
};

/// Simulates one minute in which one of two engines leaves after 10 s, while
/// the instance list keeps showing it as live. Returns the number of requests
/// sent to it more than 3 s after it left.
int CountLateRequests(const LeavingSigns& signs) {
  constexpr milliseconds kStep{50};
  constexpr seconds kLeaves{10};
  constexpr seconds kAllowed{3};
  RoutingFixture fixture(
      {MakeEngine("leaver", LimA()), MakeEngine("stayer", LimA())});
  RefusalTracker tracker(RefusalTrackerSettings{});
  const TimePoint start = fixture.clock.Now();
  int late = 0;
  for (int step = 0; step < 60 * 20; ++step) {
    fixture.clock.Advance(kStep);
    const TimePoint now = fixture.clock.Now();
    const bool has_left = now - start >= kLeaves;
    UpstreamCounters& leaver = *fixture.At("leaver").counters;
    if (step % 20 == 0 && signs.health_checks) {
      const bool succeeds = !has_left || signs.health_checks_succeed;
      tracker.OnHealthCheck(UpstreamId("leaver"), leaver,
                            {now - kStep, succeeds}, now);
    }
    if (fixture.Choose() != "leaver" || !has_left) continue;
    if (now - start > kLeaves + kAllowed) ++late;
    if (signs.refusals) tracker.OnRefusal(UpstreamId("leaver"), leaver, now);
  }
  return late;
}

TEST_CASE("a leaving upstream gets no requests after 3 s if the list lags") {
  // Without refusals and health checks, requests are sent by the list alone.
  REQUIRE(CountLateRequests({false, false, false}) > 100);
  REQUIRE(CountLateRequests({true, true, false}) == 0);
  REQUIRE(CountLateRequests({true, false, false}) == 0);
  REQUIRE(CountLateRequests({false, true, false}) == 0);
}

TEST_CASE(
    "an upstream that refuses but passes health checks is rarely retried") {
  // Holds of 10, 20 and 40 s permit 2 retries in 50 s.
  REQUIRE(CountLateRequests({true, true, true}) <= 2);
}

TEST_CASE("a refusal ends with a successful health check after the hold") {
  ManualClock clock;
  UpstreamCounters counters;
  RefusalTracker tracker(RefusalTrackerSettings{seconds(10), seconds(60)});
  const UpstreamId id("a");
  const TimePoint refused = clock.Now();
  tracker.OnRefusal(id, counters, refused);
  clock.Advance(seconds(11));
  tracker.OnHealthCheck(id, counters, {refused - seconds(1), true},
                        clock.Now());
  REQUIRE(counters.refuses_work);
  tracker.OnHealthCheck(id, counters, {refused + seconds(10), true},
                        clock.Now());
  REQUIRE_FALSE(counters.refuses_work);
}

std::vector<ListedInstance> MakeListed(int n) {
  std::vector<ListedInstance> listed;
  listed.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    listed.push_back(MakeEngine("e" + std::to_string(i), LimA()).listed);
  }
  return listed;
}

void RecordFailures(CircuitBreaker& breaker, TimePoint now, int times) {
  for (int i = 0; i < times; ++i) breaker.OnFailure(now);
}

TEST_CASE("a breaker opens, admits one probe and closes after a success") {
  CircuitBreakerRegistry registry(CircuitBreakerRegistrySettings{});
  registry.SetListed(MakeListed(2));
  CircuitBreaker& breaker = *registry.Find(UpstreamId("e0"));
  ManualClock clock;
  RecordFailures(breaker, clock.Now(), 4);
  REQUIRE(breaker.Allows(clock.Now()));
  RecordFailures(breaker, clock.Now(), 1);
  REQUIRE_FALSE(breaker.Allows(clock.Now()));
  // The success of an exchange sent before the breaker opened is ignored.
  breaker.OnSuccess(clock.Now());
  REQUIRE(breaker.is_open());
  clock.Advance(seconds(2));
  REQUIRE(breaker.Admit(clock.Now()));
  REQUIRE_FALSE(breaker.Admit(clock.Now()));
  RecordFailures(breaker, clock.Now(), 1);
  clock.Advance(seconds(3));
  REQUIRE_FALSE(breaker.Allows(clock.Now()));
  clock.Advance(seconds(1));
  REQUIRE(breaker.Admit(clock.Now()));
  breaker.OnSuccess(clock.Now());
  REQUIRE_FALSE(breaker.is_open());
}

TEST_CASE("a probe without a result times out and another probe is admitted") {
  CircuitBreakerRegistry registry(CircuitBreakerRegistrySettings{});
  registry.SetListed(MakeListed(2));
  CircuitBreaker& breaker = *registry.Find(UpstreamId("e0"));
  ManualClock clock;
  RecordFailures(breaker, clock.Now(), 5);
  clock.Advance(seconds(2));
  REQUIRE(breaker.Admit(clock.Now()));
  clock.Advance(seconds(30));
  REQUIRE(breaker.Admit(clock.Now()));
}

/// Returns how many of `n` upstreams stay in use when all of them fail.
int CountLeftInUse(int n, double max_ejected_fraction) {
  CircuitBreakerRegistrySettings settings;
  settings.max_ejected_fraction = max_ejected_fraction;
  CircuitBreakerRegistry registry(settings);
  registry.SetListed(MakeListed(n));
  ManualClock clock;
  int left = 0;
  for (int i = 0; i < n; ++i) {
    CircuitBreaker& breaker =
        *registry.Find(UpstreamId("e" + std::to_string(i)));
    RecordFailures(breaker, clock.Now(), 20);
    if (breaker.Allows(clock.Now())) ++left;
  }
  return left;
}

TEST_CASE("breakers never eject all upstreams") {
  REQUIRE(CountLeftInUse(9, 0.5) == 5);
  REQUIRE(CountLeftInUse(1, 0.5) == 1);
  REQUIRE(CountLeftInUse(2, 0.9) == 1);
}

TEST_CASE("an upstream that is no longer listed returns its ejection quota") {
  CircuitBreakerRegistry registry(CircuitBreakerRegistrySettings{});
  registry.SetListed(MakeListed(2));
  ManualClock clock;
  RecordFailures(*registry.Find(UpstreamId("e0")), clock.Now(), 5);
  CircuitBreaker* other = registry.Find(UpstreamId("e1")).get();
  RecordFailures(*other, clock.Now(), 5);
  REQUIRE_FALSE(other->is_open());
  auto listed = MakeListed(3);
  listed.erase(listed.begin());
  registry.SetListed(listed);
  RecordFailures(*other, clock.Now(), 1);
  REQUIRE(other->is_open());
}

}  // namespace
}  // namespace briarspread
