#include <catch2/catch.hpp>

#include "briarspread/rollout/lead_policy.h"
#include "briarspread/rollout/share_policy.h"
#include "briarspread/rollout/staleness_policy.h"
#include "briarspread/rollout/straggler_policy.h"
#include "briarspread/rollout/trainer_pace.h"
#include "briarspread/rollout/trainer_stats.h"

namespace briarspread {
namespace {

TEST_CASE("Work whose samples would be too old is not worth running") {
  const StalenessPolicy policy{StalenessSettings{}};
  const WeightVersion v5(5);
  REQUIRE(policy.IsWorthRunning(v5, v5, 1, 1));
  REQUIRE_FALSE(policy.IsWorthRunning(v5, v5, 1, 2));
  REQUIRE_FALSE(policy.IsWorthRunning(v5, WeightVersion(7), 1, 0));
  REQUIRE_FALSE(policy.CanDeliver(v5, WeightVersion(7), 1));
  REQUIRE(policy.CanDeliver(WeightVersion(9), v5, 0));
}

TEST_CASE("The staleness weight determines how early work starts") {
  const LeadPolicy idle({0.0, 1.0});
  const LeadPolicy fresh({1.0, 1.0});
  REQUIRE(idle.ShouldStart(seconds(100000), seconds(1)));
  REQUIRE_FALSE(fresh.ShouldStart(seconds(11), seconds(10)));
  REQUIRE(fresh.ShouldStart(seconds(10), seconds(10)));
}

TEST_CASE("The trainer that needs its step most urgently gets the slot") {
  const SharePolicy share{SharePolicySettings{}};
  const TimePoint t0{};
  const std::vector<ShareClaim> claims = {
      {1, 50, seconds(9000), seconds(600), t0, t0},
      {1, 50, seconds(9000), seconds(60), t0 + seconds(9), t0 + seconds(9)}};
  REQUIRE(share.Choose(claims, 100) == 1U);
  const SharePolicy first({ShareMode::kFirstCome, 0, milliseconds(1)});
  REQUIRE(first.Choose(claims, 100) == 0U);
  REQUIRE_FALSE(share.Choose({}, 100).has_value());
}

TEST_CASE("Each trainer gets its reserved share, however urgent another is") {
  const bool has_floor = GENERATE(true, false);
  const SharePolicy share(
      {ShareMode::kByNeed, has_floor ? 0.2 : 0.0, milliseconds(1000)});
  std::vector<ShareClaim> claims = {{1, 0, seconds(900000), seconds(0), {}, {}},
                                    {1, 0, seconds(10), seconds(3600), {}, {}}};
  for (int i = 0; i < 100; ++i) ++claims[*share.Choose(claims, 100)].running;
  REQUIRE((claims[1].running >= 10) == has_floor);
}

TEST_CASE("Slots are divided by the rules' weights at equal need") {
  const SharePolicy share{SharePolicySettings{}};
  std::vector<ShareClaim> claims = {{3, 0, seconds(900), seconds(60), {}, {}},
                                    {1, 0, seconds(900), seconds(60), {}, {}}};
  for (int i = 0; i < 100; ++i) ++claims[*share.Choose(claims, 100)].running;
  REQUIRE(claims[0].running > 70);
  REQUIRE(claims[1].running > 20);
}

TEST_CASE("Stragglers are found by recent durations and hedged up to the cap") {
  const StragglerPolicy policy({true, 2.0, 0.9, 16, 0.1});
  DurationWindow durations;
  for (int i = 0; i < 15; ++i) durations.Add(seconds(10));
  REQUIRE(policy.StragglerThreshold(durations) == Duration::zero());
  durations.Add(seconds(10));
  REQUIRE(policy.StragglerThreshold(durations) == seconds(20));
  REQUIRE(policy.IsWithinCap(90, 10, 1000));
  REQUIRE_FALSE(policy.IsWithinCap(91, 10, 1000));
}

TEST_CASE("A trainer's pulls determine when it needs its next steps") {
  TrainerPace pace;
  const TimePoint t0{};
  pace.OnPull(StepNumber(1), true, t0);
  pace.OnPull(StepNumber(2), false, t0 + seconds(100));
  REQUIRE(pace.NeedTime(StepNumber(2), t0 + seconds(100), {}) ==
          t0 + seconds(100));
  REQUIRE(pace.NeedTime(StepNumber(4), t0 + seconds(110), seconds(30)) ==
          t0 + seconds(340));
  pace.OnPull(StepNumber(1), true, t0 + seconds(120));
  REQUIRE(pace.open_step() == StepNumber(2));
}

TEST_CASE("New versions are expected at the interval of earlier ones") {
  TrainerPace pace;
  const TimePoint t0{};
  pace.OnVersion(WeightVersion(1), t0);
  REQUIRE(pace.ExpectedVersions(seconds(500), t0) == 0);
  pace.OnVersion(WeightVersion(3), t0 + seconds(20));
  REQUIRE(pace.ExpectedVersions(seconds(6), t0 + seconds(24)) == 0);
  REQUIRE(pace.ExpectedVersions(seconds(7), t0 + seconds(24)) == 1);
  REQUIRE(pace.ExpectedVersions(seconds(17), t0 + seconds(24)) == 2);
  // An overdue version is expected later and later.
  REQUIRE(pace.ExpectedVersions(seconds(7), t0 + seconds(31)) == 1);
  REQUIRE(pace.ExpectedVersions(seconds(7), t0 + seconds(40)) == 0);
  pace.OnVersion(WeightVersion(2), t0 + seconds(130));
  REQUIRE(pace.newest() == WeightVersion(3));
}

TEST_CASE("Staleness is reported by mean and 95th percentile") {
  StalenessStats stats;
  REQUIRE(stats.Mean() == 0);
  for (int i = 0; i < 95; ++i) stats.Add(1);
  for (int i = 0; i < 5; ++i) stats.Add(300);
  REQUIRE(stats.Percentile95() == 1);
  stats.Add(3);
  REQUIRE(stats.Percentile95() == 3);
}

}  // namespace
}  // namespace briarspread
