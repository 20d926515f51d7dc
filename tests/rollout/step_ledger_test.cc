#include "briarspread/rollout/step_ledger.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

constexpr std::uint32_t kTokens = 4;

StepSpec MakeSpec(std::uint32_t groups, std::uint32_t samples) {
  StepSpec spec;
  spec.model = ModelName("rollout");
  spec.samples_per_group = samples;
  spec.staleness_bound = 1;
  for (std::uint32_t i = 0; i < groups; ++i) {
    spec.groups.push_back({GroupId(10 * i), "prompt " + std::to_string(i)});
  }
  return spec;
}

FinishedSample MakeSample(const std::string& text, std::uint64_t version) {
  return {RunId(1),
          text,
          kTokens,
          {{WeightVersion(version), 0, kTokens}},
          std::nullopt};
}

StepLedger MakeLedger(std::uint32_t groups, std::uint32_t samples) {
  return {StepLedgerSettings{}, MakeSpec(groups, samples), TimePoint{}};
}

TEST_CASE("A group is complete when its last sample is finished") {
  StepLedger ledger = MakeLedger(2, 2);
  const auto first = ledger.StartNext();
  const auto second = ledger.StartNext();
  REQUIRE(first->group == second->group);
  ledger.Finish(*first, MakeSample("a", 3));
  REQUIRE_FALSE(ledger.IsComplete(first->group));
  ledger.Finish(*second, MakeSample("b", 3));
  REQUIRE(ledger.IsComplete(first->group));
  REQUIRE(ledger.SamplesOf(first->group)[1].text == "b");
}

TEST_CASE("The run that finishes first provides the sample") {
  StepLedger ledger = MakeLedger(1, 1);
  const auto place = *ledger.StartNext();
  ledger.StartFurtherRun(place);
  REQUIRE(ledger.Finish(place, MakeSample("first", 3)) ==
          FinishOutcome::kAccepted);
  REQUIRE(ledger.Finish(place, MakeSample("second", 3)) ==
          FinishOutcome::kDuplicate);
  REQUIRE(ledger.SamplesOf(0)[0].text == "first");
  REQUIRE(ledger.RemainingRuns() == 0);
}

TEST_CASE("A failed run is repeated unless the sample has another run") {
  StepLedger ledger = MakeLedger(1, 1);
  const auto place = *ledger.StartNext();
  ledger.StartFurtherRun(place);
  REQUIRE_FALSE(ledger.Fail(place));
  REQUIRE(ledger.Fail(place));
  REQUIRE(ledger.StartNext() == place);
}

TEST_CASE("A sample with unknown versions is run again") {
  const bool requires_versions = GENERATE(true, false);
  StepLedger ledger({requires_versions}, MakeSpec(1, 1), TimePoint{});
  FinishedSample sample = MakeSample("a", 3);
  sample.versions = {{WeightVersion(3), 0, kTokens - 1}};
  const auto outcome = ledger.Finish(*ledger.StartNext(), sample);
  // Without the check, the sample with incomplete versions would be delivered.
  REQUIRE(ledger.IsComplete(0) == !requires_versions);
  REQUIRE((outcome == FinishOutcome::kUnlabelled) == requires_versions);
  REQUIRE(ledger.HasPending() == requires_versions);
}

TEST_CASE("Stale samples are dropped and run again, fresh ones are kept") {
  StepLedger ledger = MakeLedger(1, 2);
  const auto old = *ledger.StartNext();
  const auto fresh = *ledger.StartNext();
  ledger.Finish(old, MakeSample("old", 3));
  ledger.Finish(fresh, MakeSample("fresh", 5));
  const StalenessPolicy policy{StalenessSettings{}};
  REQUIRE(ledger.DropStale(0, policy, WeightVersion(5), 1) == kTokens);
  REQUIRE_FALSE(ledger.IsComplete(0));
  REQUIRE(ledger.StartNext() == old);
  REQUIRE_FALSE(ledger.StartNext().has_value());
  const StalenessPolicy off{{false, false}};
  REQUIRE(ledger.DropStale(0, off, WeightVersion(99), 1) == 0);
}

TEST_CASE("Delivered groups are run only if an older cursor requires them") {
  StepLedger ledger = MakeLedger(2, 1);
  ledger.SetDelivered({true, false});
  REQUIRE(ledger.StartNext()->group == 1);
  REQUIRE_FALSE(ledger.HasPending());
  ledger.SetDelivered({false, false});
  REQUIRE(ledger.StartNext()->group == 0);
}

TEST_CASE("A sample to be scored is complete with the score of its own run") {
  StepSpec spec = MakeSpec(1, 1);
  spec.scorer = ServiceName("judge");
  StepLedger ledger(StepLedgerSettings{}, spec, TimePoint{});
  const auto place = *ledger.StartNext();
  ledger.Finish(place, MakeSample("a", 3));
  REQUIRE_FALSE(ledger.IsComplete(0));
  REQUIRE(ledger.StartScoring() == place);
  REQUIRE_FALSE(ledger.StartScoring().has_value());
  ledger.RequeueScoring(place);
  REQUIRE(ledger.StartScoring() == place);
  ledger.SetScore(place, RunId(99), "0.1");
  REQUIRE_FALSE(ledger.IsComplete(0));
  ledger.SetScore(place, RunId(1), "0.7");
  REQUIRE(ledger.IsComplete(0));
  REQUIRE(ledger.SamplesOf(0)[0].score == "0.7");
}

}  // namespace
}  // namespace briarspread
