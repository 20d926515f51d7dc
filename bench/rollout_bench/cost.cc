#include "bench/rollout_bench/cost.h"

#include <deque>
#include <string>

#include "briarspread/rollout/rollout_scheduler.h"

namespace briarspread::bench {
namespace {

constexpr std::size_t kRunsAtOnce = 512;
constexpr std::uint32_t kTokens = 100;
constexpr int kRounds = 1000;

class DefaultRules final : public TrainerRules {
 public:
  TrainerRule RuleOf(const TrainerId& /*trainer*/) const override { return {}; }
};

/// Returns the mean microseconds per call of `n` calls since `start`.
double MicrosecondsEach(TimePoint start, std::uint64_t n) {
  const auto taken = SystemClock().Now() - start;
  return std::chrono::duration<double, std::micro>(taken).count() /
         static_cast<double>(n);
}

StepSpec MakeSpec(std::uint32_t groups, std::uint32_t samples_per_group) {
  StepSpec spec;
  spec.samples_per_group = samples_per_group;
  spec.staleness_bound = 1;
  for (std::uint32_t i = 0; i < groups; ++i) {
    spec.groups.push_back({GroupId(i), "prompt"});
  }
  return spec;
}

}  // namespace

DecisionCost MeasureCost(std::uint32_t trainers, std::uint32_t groups,
                         std::uint32_t samples_per_group) {
  const SystemClock clock;
  const DefaultRules rules;
  RolloutSchedulerSettings settings;
  settings.trainer.max_batch_samples = samples_per_group;
  RolloutScheduler scheduler(settings, "key", rules, clock);
  const StepSpec spec = MakeSpec(groups, samples_per_group);
  std::string cursor;
  for (std::uint32_t t = 0; t < trainers; ++t) {
    for (std::uint64_t step = 1; step <= 2; ++step) {
      auto opened = scheduler.SubmitStep(TrainerId("t" + std::to_string(t)),
                                         StepNumber(step), spec);
      if (t == 0 && step == 1) cursor = ValueOf(opened);
    }
  }
  DecisionCost cost{trainers, spec.SampleCount()};
  const std::uint64_t samples = trainers * spec.SampleCount();
  std::deque<RunId> runs;
  TimePoint start = clock.Now();
  for (std::uint64_t i = 0; i < samples; ++i) {
    const auto run = scheduler.NextRun({kRunsAtOnce, UpstreamId(), nullptr});
    if (run.has_value()) runs.push_back(run->id);
    if (runs.size() < kRunsAtOnce) continue;
    scheduler.OnFinished(runs.front(), {RunId(0),
                                        "text",
                                        kTokens,
                                        {{WeightVersion(1), 0, kTokens}},
                                        std::nullopt});
    runs.pop_front();
  }
  cost.run_us = MicrosecondsEach(start, samples);
  const TrainerId first("t0");
  start = clock.Now();
  for (int i = 0; i < kRounds; ++i) {
    scheduler.NextBatch(first, cursor, WeightVersion(1));
  }
  cost.pull_us = MicrosecondsEach(start, kRounds);
  const CursorCodec codec("key");
  const Cursor held{first, StepNumber(1), 1, 7, std::vector<bool>(groups)};
  start = clock.Now();
  for (int i = 0; i < kRounds; ++i) {
    cost.cursor_bytes = codec.Encode(held).size();
    codec.Decode(codec.Encode(held));
  }
  cost.cursor_us = MicrosecondsEach(start, kRounds);
  return cost;
}

}  // namespace briarspread::bench
