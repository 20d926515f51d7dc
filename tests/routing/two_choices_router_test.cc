#include "briarspread/routing/two_choices_router.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>

#include "briarspread/core/rendezvous.h"
#include "briarspread/routing/load_estimate.h"
#include "tests/routing/routing_fixture.h"

namespace briarspread {
namespace {

using testing::AqpA;
using testing::LimA;
using testing::LimB;
using testing::MakeEngine;
using testing::RoutingFixture;
using testing::RulesFrom;

std::vector<UpstreamView> MakeEnginePerZone() {
  return {MakeEngine("near", LimA()), MakeEngine("region", LimB()),
          MakeEngine("remote", AqpA())};
}

std::set<std::string> ChooseRepeatedly(RoutingFixture& fixture, int times) {
  std::set<std::string> chosen;
  for (int i = 0; i < times; ++i) chosen.insert(fixture.Choose());
  return chosen;
}

TEST_CASE("a load estimate adds the change in own requests since the report") {
  UpstreamView view = MakeEngine("a", LimA());
  view.load.running = 6;
  view.load.own_in_flight = 2;
  view.counters->in_flight = 5;
  REQUIRE(LoadEstimate(view).InFlight() == 9);
  REQUIRE(LoadEstimate(view).ExpectedWait(TimePoint{}) == Duration::zero());
  view.share.count = 3;
  REQUIRE(LoadEstimate(view).InFlight() == 15);
  view.counters->in_flight = 0;
  REQUIRE(LoadEstimate(view).InFlight() == 0);
  view.share.count = 1;
  REQUIRE(LoadEstimate(view).InFlight() == 4);
  view.load = {};
  view.counters->in_flight = 3;
  REQUIRE(LoadEstimate(view).InFlight() == 3);
}

TEST_CASE("the expected wait follows the measured service time") {
  UpstreamView view = MakeEngine("a", LimA());
  view.load.running = 10;
  view.load.queued = 4;
  RecordServiceTime(*view.counters, seconds(2));
  REQUIRE(LoadEstimate(view).ExpectedWait(TimePoint{}) == seconds(1));
}

TEST_CASE("farther upstreams are used only when the nearer ones are full") {
  RoutingFixture fixture(MakeEnginePerZone());
  REQUIRE(ChooseRepeatedly(fixture, 50) == std::set<std::string>{"near"});
  fixture.At("near").counters->in_flight = 10;
  REQUIRE(ChooseRepeatedly(fixture, 50) == std::set<std::string>{"region"});
  fixture.At("region").counters->in_flight = 10;
  REQUIRE(ChooseRepeatedly(fixture, 50) == std::set<std::string>{"remote"});
  fixture.At("remote").counters->in_flight = 8;
  REQUIRE(fixture.Choose() == "near");
}

TEST_CASE("the spill rule keeps requests within a region or zone") {
  RoutingFixture fixture(MakeEnginePerZone());
  fixture.At("near").counters->in_flight = 30;
  fixture.At("region").counters->in_flight = 20;
  REQUIRE(fixture.Choose() == "remote");
  fixture.rules = RulesFrom("spill serves=* to=region # Rosa\n");
  REQUIRE(fixture.Choose() == "region");
  fixture.rules = RulesFrom("spill serves=* to=zone # Rosa\n");
  REQUIRE(fixture.Choose() == "near");
  fixture.At("near").counters->refuses_work = true;
  REQUIRE(fixture.Choose() == "none");
}

TEST_CASE("the budget of a link limits the bytes sent to another region") {
  RoutingFixture fixture({MakeEngine("remote", AqpA())});
  fixture.request.expected_bytes = ByteCount(400);
  REQUIRE(ChooseRepeatedly(fixture, 100).count("none") == 0);
  fixture.rules = RulesFrom("link from=lim to=aqp budget=0.001MB/s # Rosa\n");
  int sent = 0;
  while (fixture.Choose() == "remote") ++sent;
  REQUIRE(sent == 2);
  fixture.clock.Advance(seconds(1));
  REQUIRE(fixture.Choose() == "remote");
}

TEST_CASE("a response is charged to the budget of the opposite direction") {
  RoutingFixture fixture({MakeEngine("remote", AqpA())});
  fixture.request.expected_answer_bytes = ByteCount(600);
  fixture.rules = RulesFrom("link from=aqp to=lim budget=0.001MB/s # Rosa\n");
  REQUIRE(fixture.Choose() == "remote");
  REQUIRE(fixture.Choose() == "none");
}

TEST_CASE("requests of a pinned class are sent only to the pinned upstream") {
  RoutingFixture fixture(MakeEnginePerZone());
  fixture.rules = RulesFrom("pin class=quote upstream=region # Rosa\n");
  REQUIRE(ChooseRepeatedly(fixture, 20) == std::set<std::string>{"region"});
  fixture.At("region").counters->refuses_work = true;
  REQUIRE(fixture.Choose() == "none");
  fixture.request.request_class = RequestClass("stock");
  REQUIRE(fixture.Choose() == "near");
}

TEST_CASE("rollouts leave the reserve to live callers") {
  RoutingFixture fixture({MakeEngine("near", LimA())});
  fixture.rules = RulesFrom("reserve serves=* share=0.3 # Rosa\n");
  UpstreamCounters& counters = *fixture.At("near").counters;
  fixture.request.is_rollout = true;
  int rollouts = 0;
  while (fixture.Choose() == "near") {
    ++counters.in_flight;
    counters.rollouts_in_flight = static_cast<std::uint32_t>(++rollouts);
  }
  REQUIRE(rollouts == 7);
  fixture.request.is_rollout = false;
  REQUIRE(fixture.Choose() == "near");
  fixture.request.is_rollout = true;
  fixture.rules = RulesFrom("reserve serves=* share=0.1 # Rosa\n");
  REQUIRE(fixture.Choose() == "near");
}

TEST_CASE("a prefix stays with its upstream until the upstream is overloaded") {
  std::vector<UpstreamView> engines;
  engines.reserve(9);
  for (int i = 0; i < 9; ++i) {
    engines.push_back(MakeEngine("e" + std::to_string(i), LimA()));
  }
  RoutingFixture fixture(std::move(engines));
  fixture.request.prefix_hash = 1234;
  const auto first = ChooseRepeatedly(fixture, 50);
  REQUIRE(first.size() == 1);
  fixture.At(*first.begin()).counters->in_flight = 9;
  const auto second = ChooseRepeatedly(fixture, 50);
  REQUIRE(second.size() == 1);
  REQUIRE(second != first);
  // With equal load everywhere, the first upstream is not above the mean.
  for (UpstreamView& view : fixture.table->upstreams) {
    view.counters->in_flight = 9;
  }
  REQUIRE(ChooseRepeatedly(fixture, 50) == first);
}

TEST_CASE("a cache hint sends a prefix to the engine that has it cached") {
  RoutingFixture fixture({MakeEngine("a", LimA()), MakeEngine("b", LimA()),
                          MakeEngine("c", LimA())});
  CacheHints hints(64);
  TwoChoicesRouter router(TwoChoicesSettings{}, fixture.random, fixture.clock,
                          &hints);
  fixture.request.prefix_hash = 99;
  for (const char* name : {"a", "b", "c"}) {
    hints.ApplyEvent(StableHash(name), {1, CacheChange::kStored, 99});
    const auto index =
        router.Choose(fixture.request, *fixture.table, fixture.rules);
    REQUIRE(fixture.table->upstreams[*index].listed.name == name);
  }
}

TEST_CASE("free slots in a recent report are shared equally beyond the quota") {
  // Of three instances, ranks 0 and 1 run rollouts and rank 2 runs none.
  UpstreamView view = MakeEngine("near", LimA());
  view.share.count = 3;
  RoutingFixture fixture({view});
  fixture.rules = RulesFrom("reserve serves=* share=0.2 # Rosa\n");
  fixture.request.is_rollout = true;
  UpstreamView& near = fixture.At("near");
  std::uint32_t running[2] = {0, 0};
  for (int report = 0; report < 20; ++report) {
    const std::uint32_t reported = running[0] + running[1];
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
      near.share.rank = rank;
      near.load.running = reported;
      near.load.received = fixture.clock.Now();
      near.load.own_rollouts = running[rank];
      near.counters->rollouts_in_flight = running[rank];
      while (fixture.Choose() == "near") {
        near.counters->rollouts_in_flight = ++running[rank];
      }
    }
    REQUIRE(running[0] + running[1] <= 8);
  }
  // The last free slot is the share of the third instance, which does not use
  // it.
  REQUIRE(running[0] + running[1] == 7);
  near.counters->rollouts_in_flight = 3;
  near.load.own_rollouts = 3;
  near.load.running = 3;
  REQUIRE(fixture.Choose() == "near");
  fixture.clock.Advance(seconds(3));
  REQUIRE(fixture.Choose() == "none");
}

/// Returns an upstream in a random state.
UpstreamView ArbitraryEngine(const std::string& name, CircuitBreaker* opened) {
  const Locality places[] = {LimA(), LimB(), AqpA()};
  UpstreamView view = MakeEngine(name, places[*rc::gen::inRange(0, 3)]);
  if (*rc::gen::inRange(0, 4) == 0) view.listed.serves = "other";
  if (*rc::gen::inRange(0, 4) == 0) view.listed.state = ListedState::kLeaving;
  view.counters->refuses_work = *rc::gen::inRange(0, 3) == 0;
  view.counters->in_flight = *rc::gen::inRange(0U, 20U);
  view.counters->rollouts_in_flight = *rc::gen::inRange(0U, 12U);
  if (*rc::gen::inRange(0, 3) == 0) {
    view.breaker = std::shared_ptr<CircuitBreaker>(
        opened, [](CircuitBreaker* /*not owned*/) {});
  }
  return view;
}

TEST_CASE("two choices never picks an upstream that cannot be used") {
  rc::prop("an upstream is chosen if any is usable, and it is usable", [] {
    const auto quota = std::make_shared<EjectionQuota>();
    quota->SetLimit(1);
    CircuitBreaker opened(CircuitBreakerSettings{1}, quota);
    testing::ManualClock clock;
    opened.OnFailure(clock.Now());
    std::vector<UpstreamView> engines;
    const int n = *rc::gen::inRange(1, 40);
    engines.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
      engines.push_back(ArbitraryEngine("e" + std::to_string(i), &opened));
    }
    RoutingFixture fixture(std::move(engines));
    fixture.rules = RulesFrom(
        "drain upstream=e0 # Rosa\n"
        "reserve serves=* share=0.3 # Rosa\n");
    fixture.request.is_rollout = *rc::gen::arbitrary<bool>();
    fixture.request.prefix_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
    fixture.request.excluded = {UpstreamId("e1")};
    const auto is_usable = [&](const UpstreamView& view) {
      return IsEligible(fixture.request, view, fixture.rules) &&
             view.breaker == nullptr &&
             (!fixture.request.is_rollout ||
              view.counters->rollouts_in_flight < 7);
    };
    const auto& upstreams = fixture.table->upstreams;
    const auto chosen =
        fixture.router.Choose(fixture.request, *fixture.table, fixture.rules);
    const bool any = std::any_of(upstreams.begin(), upstreams.end(), is_usable);
    RC_ASSERT(chosen.has_value() == any);
    if (any) RC_ASSERT(is_usable(upstreams[*chosen]));
  });
}

}  // namespace
}  // namespace briarspread
