#include "briarspread/weights/wave_planner.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

Replica MakeReplica(int n, const std::string& region, const std::string& zone) {
  Replica replica;
  replica.id = UpstreamId("replica-" + std::to_string(n));
  replica.locality = {RegionId(region), ZoneId(zone)};
  return replica;
}

/// Returns a planner in which all replicas serve another version.
WavePlanner MakePlanner(const std::vector<Replica>& replicas) {
  WavePlanner planner(WavePlannerSettings{});
  planner.SetReplicas(replicas);
  for (const Replica& it : replicas) {
    planner.SetState(it.id, SwapState::kPending);
  }
  return planner;
}

}  // namespace

TEST_CASE("a region's last serving replica swaps once another one serves") {
  WavePlanner planner = MakePlanner({MakeReplica(1, "lim", "lim-a"),
                                     MakeReplica(2, "lim", "lim-b"),
                                     MakeReplica(3, "aqp", "aqp-a")});
  planner.SetState(UpstreamId("replica-1"), SwapState::kOut);
  const auto first = planner.NextAssignments();
  // The only replica of its region may swap while the other region serves.
  REQUIRE(first.size() == 1);
  CHECK(first[0].id == UpstreamId("replica-3"));
  planner.SetState(UpstreamId("replica-1"), SwapState::kRetry);
  const auto second = planner.NextAssignments();
  REQUIRE(second.size() == 1);
  CHECK(second[0].id == UpstreamId("replica-1"));
  planner.SetState(UpstreamId("replica-1"), SwapState::kLoaded);
  const auto third = planner.NextAssignments();
  REQUIRE(third.size() == 1);
  CHECK(third[0].source == UpstreamId("replica-1"));
}

TEST_CASE("the only replica of a model may swap") {
  WavePlanner planner = MakePlanner({MakeReplica(1, "lim", "lim-a")});
  CHECK(planner.NextAssignments().size() == 1);
}

TEST_CASE("swaps in any order keep floors, pull once per region and complete") {
  rc::prop("swaps end with all replicas loaded", [] {
    std::vector<Replica> replicas;
    const int n = *rc::gen::inRange(1, 20);
    for (int i = 0; i < n; ++i) {
      const int zone = *rc::gen::inRange(0, 4);
      replicas.push_back(MakeReplica(i, "r" + std::to_string(zone % 2),
                                     "z" + std::to_string(zone)));
    }
    WavePlanner planner = MakePlanner(replicas);
    std::vector<SwapAssignment> loading;
    std::map<RegionId, int> pulls;
    int failures = 50;
    for (int step = 0; step < 100 && planner.loaded() < planner.size();
         ++step) {
      for (const SwapAssignment& it : planner.NextAssignments()) {
        if (!it.source.has_value()) {
          ++pulls[planner.Find(it.id)->locality.region];
        }
        loading.push_back(it);
      }
      for (const Replica& it : replicas) {
        const ZoneId& zone = it.locality.zone;
        RC_ASSERT(planner.Serving(zone) >= planner.Floor(zone));
      }
      RC_ASSERT(!loading.empty());
      const auto i = *rc::gen::inRange<std::size_t>(0, loading.size());
      const SwapAssignment ended = loading[i];
      loading.erase(loading.begin() + static_cast<std::ptrdiff_t>(i));
      const bool fails = failures > 0 && *rc::gen::arbitrary<bool>();
      if (fails) --failures;
      if (fails && !ended.source.has_value()) {
        --pulls[planner.Find(ended.id)->locality.region];
      }
      planner.SetState(ended.id,
                       fails ? SwapState::kRetry : SwapState::kLoaded);
    }
    RC_ASSERT(planner.loaded() == planner.size());
    for (const auto& [region, count] : pulls) RC_ASSERT(count == 1);
  });
}

}  // namespace briarspread
