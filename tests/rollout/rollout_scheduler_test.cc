#include "briarspread/rollout/rollout_scheduler.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/support/manual_clock.h"

namespace briarspread {
namespace {

constexpr char kKey[] = "shared key";
constexpr std::uint32_t kTokens = 4;
const TrainerId kLima("lima");
const StepNumber kStep(1);

/// Provides the same rule for each trainer.
class FixedRules final : public TrainerRules {
 public:
  TrainerRule RuleOf(const TrainerId& trainer) const override {
    TrainerRule found = rule;
    found.trainer = trainer;
    return found;
  }
  TrainerRule rule;
};

/// Engines that all serve one version.
class FixedVersion final : public ServedVersions {
 public:
  explicit FixedVersion(std::uint64_t version) : version_(version) {}
  std::optional<WeightVersion> NewestServed(
      const ModelName& /*model*/) const override {
    return version_;
  }

 private:
  WeightVersion version_;
};

StepSpec MakeSpec(std::uint32_t groups, std::uint32_t samples) {
  StepSpec spec;
  spec.samples_per_group = samples;
  spec.staleness_bound = 1;
  for (std::uint32_t i = 0; i < groups; ++i) {
    spec.groups.push_back({GroupId(i), "p"});
  }
  return spec;
}

FinishedSample MakeSample(const std::string& text, std::uint64_t version) {
  return {RunId(0),
          text,
          kTokens,
          {{WeightVersion(version), 0, kTokens}},
          std::nullopt};
}

/// One instance's scheduler with a clock and rules.
struct Instance {
  testing::ManualClock clock;
  FixedRules rules;
  RolloutScheduler scheduler{RolloutSchedulerSettings{}, kKey, rules, clock};
  SlotOffer offer{64, UpstreamId(), nullptr};

  std::string Submit(const StepSpec& spec, StepNumber step = kStep) {
    return ValueOf(scheduler.SubmitStep(kLima, step, spec));
  }
  /// Runs all samples that the scheduler starts and finishes them with `text`.
  void RunAll(const std::string& text, std::uint64_t version = 1) {
    while (const auto run = scheduler.NextRun(offer)) {
      clock.Advance(seconds(1));
      scheduler.OnFinished(run->id, MakeSample(text, version));
    }
  }
  Batch Pull(const std::string& cursor, std::uint64_t newest = 1) {
    return ValueOf(scheduler.NextBatch(kLima, cursor, WeightVersion(newest)));
  }
  ErrorCode PullError(const std::string& cursor) {
    return ErrorOf(scheduler.NextBatch(kLima, cursor, WeightVersion(1))).code;
  }
};

TEST_CASE("A lost batch is delivered again, one that arrived is not") {
  Instance instance;
  const std::string opening = instance.Submit(MakeSpec(3, 2));
  instance.RunAll("a");
  const Batch lost = instance.Pull(opening);
  const Batch again = instance.Pull(opening);
  REQUIRE(lost.groups.size() == 3);
  REQUIRE(again.next == lost.next);
  REQUIRE(again.is_whole);
  const Batch rest = instance.Pull(instance.scheduler.FormatCursor(again.next));
  REQUIRE(rest.groups.empty());
  REQUIRE(rest.is_whole);
}

TEST_CASE("Two instances run one step; the cursor decides what is delivered") {
  Instance first;
  Instance second;
  const std::string opening = first.Submit(MakeSpec(4, 1));
  REQUIRE(second.Submit(MakeSpec(4, 1)) == opening);
  const auto run = first.scheduler.NextRun(first.offer);
  first.scheduler.OnFinished(run->id, MakeSample("first", 1));
  second.RunAll("second");
  const Batch one = first.Pull(opening);
  REQUIRE(one.groups.size() == 1);
  REQUIRE(one.groups[0].samples[0].text == "first");
  // Both instances answer the same cursor; the trainer may keep either batch
  // together with its cursor.
  REQUIRE(second.Pull(opening).groups.size() == 4);
  const Batch rest = second.Pull(first.scheduler.FormatCursor(one.next));
  REQUIRE(rest.groups.size() == 3);
  for (const auto& group : rest.groups) {
    REQUIRE(group.id != one.groups[0].id);
  }
}

TEST_CASE("A new instance takes a step over with the trainer's cursor") {
  Instance killed;
  std::string cursor = killed.Submit(MakeSpec(4, 1));
  killed.scheduler.OnFinished(killed.scheduler.NextRun(killed.offer)->id,
                              MakeSample("killed", 1));
  cursor = killed.scheduler.FormatCursor(killed.Pull(cursor).next);
  Instance successor;
  REQUIRE(successor.PullError(cursor) == ErrorCode::kNotFound);
  successor.Submit(MakeSpec(4, 1));
  REQUIRE(successor.Pull(cursor).groups.empty());
  successor.RunAll("successor");
  // The delivered group was not run again.
  REQUIRE(successor.scheduler.StatsOf(kLima)->finished == 3);
  REQUIRE(successor.Pull(cursor).is_whole);
}

TEST_CASE("Forged cursors and those of another trainer or body are refused") {
  Instance instance;
  const std::string opening = instance.Submit(MakeSpec(2, 1));
  REQUIRE(instance.PullError("") == ErrorCode::kInvalidArgument);
  REQUIRE(instance.PullError(opening.substr(1)) == ErrorCode::kInvalidArgument);
  const auto foreign = instance.scheduler.NextBatch(TrainerId("other"), opening,
                                                    WeightVersion(1));
  REQUIRE(ErrorOf(foreign).code == ErrorCode::kInvalidArgument);
  Instance other;
  other.Submit(MakeSpec(3, 1));
  REQUIRE(other.PullError(opening) == ErrorCode::kConflict);
  const auto changed =
      instance.scheduler.SubmitStep(kLima, kStep, MakeSpec(3, 1));
  REQUIRE(ErrorOf(changed).code == ErrorCode::kConflict);
}

TEST_CASE("A cursor of an earlier step requires its submission again") {
  Instance instance;
  const std::string old = instance.Submit(MakeSpec(2, 1));
  const std::string next = instance.Submit(MakeSpec(2, 1), StepNumber(2));
  instance.RunAll("a");
  const Batch batch = instance.Pull(next);
  REQUIRE(instance.Pull(old).groups.size() == 2);
  instance.Pull(instance.scheduler.FormatCursor(batch.next));
  REQUIRE(instance.PullError(old) == ErrorCode::kNotFound);
  REQUIRE(instance.Submit(MakeSpec(2, 1)) == old);
}

TEST_CASE("Samples that exceed the bound are never delivered, not even again") {
  Instance instance;
  const std::string opening = instance.Submit(MakeSpec(1, 2));
  instance.RunAll("old", 1);
  REQUIRE(instance.Pull(opening, 2).groups.size() == 1);
  REQUIRE(instance.Pull(opening, 3).groups.empty());
  instance.RunAll("fresh", 3);
  const Batch batch = instance.Pull(opening, 3);
  REQUIRE(batch.groups[0].samples[0].text == "fresh");
  REQUIRE(instance.scheduler.StatsOf(kLima)->dropped_stale_tokens ==
          2ULL * kTokens);
}

TEST_CASE("A rule can lower a step's bound but not raise it") {
  Instance instance;
  instance.rules.rule.staleness = 0;
  const std::string opening = instance.Submit(MakeSpec(1, 1));
  instance.RunAll("old", 1);
  REQUIRE(instance.Pull(opening, 2).groups.empty());
  instance.rules.rule.staleness = 9;
  instance.RunAll("older", 1);
  REQUIRE(instance.Pull(opening, 3).groups.empty());
}

TEST_CASE("Work on weights that are too old is not started or is cancelled") {
  Instance instance;
  const std::string opening = instance.Submit(MakeSpec(1, 1));
  instance.Pull(opening, 5);
  const FixedVersion lagging(3);
  instance.offer.served = &lagging;
  REQUIRE_FALSE(instance.scheduler.NextRun(instance.offer).has_value());
  const FixedVersion current(5);
  instance.offer.served = &current;
  const auto run = instance.scheduler.NextRun(instance.offer);
  REQUIRE(run->oldest_allowed == WeightVersion(4));
  instance.scheduler.OnProgress(run->id, {UpstreamId(), 1, WeightVersion(5)});
  REQUIRE(instance.scheduler.RunsToCancel().empty());
  instance.Pull(opening, 7);
  instance.clock.Advance(seconds(1));
  REQUIRE(instance.scheduler.RunsToCancel() == std::vector<RunId>{run->id});
  instance.scheduler.OnFailed(run->id);
  REQUIRE(instance.scheduler.StatsOf(kLima)->cancelled_stale == 1);
}

TEST_CASE("A straggler is cancelled when its hedge finishes first") {
  Instance instance;
  instance.offer.slots = 2;
  instance.Submit(MakeSpec(100, 1));
  const auto slow = *instance.scheduler.NextRun(instance.offer);
  instance.scheduler.OnProgress(slow.id, {UpstreamId("e1"), 2, std::nullopt});
  std::optional<SampleRun> hedge;
  for (int i = 0; i < 100 && !hedge.has_value(); ++i) {
    instance.offer.upstream = UpstreamId("e2");
    const auto run = instance.scheduler.NextRun(instance.offer);
    REQUIRE(run.has_value());
    if (run->is_hedge) hedge = run;
    instance.clock.Advance(seconds(1));
    instance.scheduler.OnFinished(run->id, MakeSample("b", 1));
  }
  REQUIRE(hedge.has_value());
  REQUIRE(hedge->sample == slow.sample);
  REQUIRE(hedge->avoided_upstreams ==
          std::vector<UpstreamId>{UpstreamId("e1")});
  REQUIRE(instance.scheduler.RunsToCancel() == std::vector<RunId>{slow.id});
  REQUIRE_FALSE(instance.scheduler.OnFinished(slow.id, MakeSample("a", 1)));
  const TrainerStats& stats = *instance.scheduler.StatsOf(kLima);
  REQUIRE(stats.hedges_won == 1);
  REQUIRE(stats.wasted_tokens == kTokens);
}

TEST_CASE("No more runs are started than slots are offered") {
  Instance instance;
  instance.Submit(MakeSpec(10, 1));
  instance.offer.slots = 3;
  int started = 0;
  while (instance.scheduler.NextRun(instance.offer).has_value()) ++started;
  REQUIRE(started == 3);
}

TEST_CASE("A group is delivered once scored, and scoring ids are stable") {
  Instance instance;
  StepSpec spec = MakeSpec(1, 1);
  spec.scorer = ServiceName("judge");
  const std::string opening = instance.Submit(spec);
  instance.RunAll("text");
  REQUIRE(instance.Pull(opening).groups.empty());
  const auto task = instance.scheduler.NextScoring();
  instance.scheduler.OnScoringFailed(*task);
  const auto retried = instance.scheduler.NextScoring();
  REQUIRE(retried->id == task->id);
  REQUIRE(instance.scheduler.OnScored(*retried, "0.5"));
  REQUIRE(instance.Pull(opening).groups[0].samples[0].score == "0.5");
}

}  // namespace
}  // namespace briarspread
