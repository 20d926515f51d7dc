// Replays of generated loads on the model of engines, compared with simpler
// policies.

#include "tests/batch_model/replay.h"

#include <catch2/catch.hpp>

namespace briarspread::testing {
namespace {

ReplayOutcome ReplayShape(const LoadShape& shape, const ReplayPolicy& policy) {
  return Replay(GenerateLoad(shape), ReplayFleet{}, policy);
}

TEST_CASE("a replay is deterministic, and a load can be formatted and parsed") {
  const LoadShape shape;
  const ReplayLoad load = GenerateLoad(shape);
  const auto again = ParseLoad(FormatLoad(load));
  REQUIRE(IsOk(again));
  const ReplayOutcome first = Replay(load, ReplayFleet{}, ReplayPolicy{});
  const ReplayOutcome second =
      Replay(ValueOf(again), ReplayFleet{}, ReplayPolicy{});
  REQUIRE(first.groups_in_time == second.groups_in_time);
  REQUIRE(first.idle_seconds == second.idle_seconds);
  REQUIRE_FALSE(IsOk(ParseLoad("{\"trainers\":7}")));
}

TEST_CASE("at overload more groups are in time than first come first served") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    LoadShape shape;
    shape.seed = seed;
    shape.load_factor = 1.3;
    const ReplayOutcome ours = ReplayShape(shape, ReplayPolicy{});
    const ReplayOutcome fcfs = ReplayShape(shape, FirstComeFirstServed());
    REQUIRE(ours.groups_in_time > fcfs.groups_in_time);
  }
}

TEST_CASE("slow engines delay fewer groups than in the earlier version") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    LoadShape shape;
    shape.seed = seed;
    shape.slow_engines = 3;
    const ReplayOutcome ours = ReplayShape(shape, ReplayPolicy{});
    const ReplayOutcome earlier = ReplayShape(shape, EarlierVersion());
    REQUIRE(ours.in_time() > earlier.in_time());
  }
}

TEST_CASE("versions on a share of the engines save loads and groups") {
  LoadShape shape;
  shape.load_factor = 1.2;
  ReplayPolicy everywhere;
  everywhere.uses_version_planner = false;
  const ReplayOutcome ours = ReplayShape(shape, ReplayPolicy{});
  const ReplayOutcome all = ReplayShape(shape, everywhere);
  REQUIRE(ours.loads < all.loads);
  REQUIRE(ours.in_time() > all.in_time());
}

}  // namespace
}  // namespace briarspread::testing
