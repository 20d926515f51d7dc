#include "bench/rollout_bench/scenarios.h"

#include <algorithm>
#include <memory>
#include <numeric>

namespace briarspread::bench {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using testing::RolloutWorld;
using testing::TrainerModel;
using testing::TrainerModelReport;
using testing::TrainerModelSettings;

constexpr hours kHorizon{4};
constexpr std::uint32_t kSamplesPerGroup = 16;
constexpr int kStepsMeasured = 8;

TrainerModelSettings MakeTrainer(const std::string& name, std::uint32_t groups,
                                 seconds compute) {
  TrainerModelSettings trainer;
  trainer.id = TrainerId(name);
  trainer.groups = groups;
  trainer.samples_per_group = kSamplesPerGroup;
  trainer.compute = compute;
  return trainer;
}

/// One world with its trainers, started.
class Experiment {
 public:
  Experiment(const testing::WorldSettings& world,
             const RolloutSchedulerSettings& scheduler,
             const std::vector<TrainerModelSettings>& trainers)
      : world_(world, scheduler) {
    for (const TrainerModelSettings& trainer : trainers) {
      trainers_.push_back(std::make_unique<TrainerModel>(trainer, world_));
    }
    world_.OnGroupComplete([this] {
      for (const auto& trainer : trainers_) trainer->PullIfWaiting();
    });
    for (const auto& trainer : trainers_) trainer->Start();
  }

  RolloutWorld& world() { return world_; }
  std::vector<TrainerModelReport> Reports(bool open_step_is_lost) const {
    std::vector<TrainerModelReport> reports;
    for (const auto& trainer : trainers_) {
      reports.push_back(trainer->Report(open_step_is_lost));
    }
    return reports;
  }

 private:
  RolloutWorld world_;
  std::vector<std::unique_ptr<TrainerModel>> trainers_;
};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double WastedShare(RolloutScheduler& scheduler) {
  double wasted = 0;
  double all = 0;
  for (const TrainerId& trainer : scheduler.Trainers()) {
    const TrainerStats& stats = *scheduler.StatsOf(trainer);
    wasted +=
        static_cast<double>(stats.wasted_tokens + stats.dropped_stale_tokens);
    all += static_cast<double>(stats.wasted_tokens + stats.tokens);
  }
  return all > 0 ? wasted / all : 0;
}

}  // namespace

Deployment Mantaro(std::uint64_t seed) {
  Deployment deployment{"mantaro", {}, {}};
  deployment.world.engines = 9;
  deployment.world.seed = seed;
  deployment.trainers = {MakeTrainer("order", 128, seconds(480)),
                         MakeTrainer("quote", 32, seconds(240)),
                         MakeTrainer("stock", 64, seconds(520))};
  return deployment;
}

Deployment Caledonian(std::uint64_t seed) {
  Deployment deployment{"caledonian", {}, {}};
  deployment.world.engines = 8;
  deployment.world.seed = seed;
  deployment.trainers = {MakeTrainer("report", 96, seconds(400)),
                         MakeTrainer("fitter", 48, seconds(400)),
                         MakeTrainer("booking", 32, seconds(300))};
  return deployment;
}

void AddFaults(Deployment& deployment) {
  // The second of three zones, and one engine outside it.
  const std::size_t third = deployment.world.engines / 3;
  deployment.world.outages = {{0, 1, hours(1), hours(1)},
                              {third, 2 * third, hours(3), minutes(10)}};
  deployment.world.failed_swaps = 0.03;
}

Policy Ours(double staleness_weight) {
  Policy policy{"briarspread", {}};
  policy.settings.lead.staleness_weight = staleness_weight;
  return policy;
}

std::vector<Policy> Baselines() {
  Policy first_come = Ours(0);
  first_come.name = "first-come";
  first_come.settings.share.mode = ShareMode::kFirstCome;
  first_come.settings.stragglers.is_enabled = false;
  first_come.settings.trainer.staleness.cuts_early = false;
  Policy turns = first_come;
  turns.name = "equal-turns";
  turns.settings.share.mode = ShareMode::kEqualTurns;
  Policy not_hedged = Ours(LeadSettings{}.staleness_weight);
  not_hedged.name = "no-hedging";
  not_hedged.settings.stragglers.is_enabled = false;
  Policy not_cut = Ours(LeadSettings{}.staleness_weight);
  not_cut.name = "no-early-cut";
  not_cut.settings.trainer.staleness.cuts_early = false;
  return {first_come, turns, not_hedged, not_cut};
}

Outcome Run(const Deployment& deployment, const Policy& policy,
            const std::string& faults) {
  Experiment experiment(deployment.world, policy.settings, deployment.trainers);
  experiment.world().RunUntil([] { return false; }, kHorizon);
  Outcome outcome;
  outcome.deployment = deployment.name;
  outcome.policy = policy.name;
  outcome.faults = faults;
  double step_seconds = 0;
  double staleness = 0;
  std::uint64_t samples = 0;
  std::uint64_t measured_steps = 0;
  const auto reports = experiment.Reports(false);
  for (const TrainerModelReport& report : reports) {
    const double idle = report.measured > Duration::zero()
                            ? Seconds(report.idle) / Seconds(report.measured)
                            : 1;
    outcome.worst_idle_share = std::max(outcome.worst_idle_share, idle);
    outcome.idle_share += idle / static_cast<double>(reports.size());
    outcome.steps += report.steps;
    outcome.broken_promises +=
        report.lost + report.doubled + report.mislabelled + report.over_age;
    // The highest of the trainers: each has its own promise.
    outcome.staleness_p95 =
        std::max(outcome.staleness_p95, report.staleness.Percentile95());
    staleness +=
        report.staleness.Mean() * static_cast<double>(report.staleness.count());
    samples += report.staleness.count();
    for (const Duration time : report.step_times) step_seconds += Seconds(time);
    measured_steps += report.step_times.size();
  }
  if (samples > 0) {
    outcome.staleness_mean = staleness / static_cast<double>(samples);
  }
  if (measured_steps > 0) {
    outcome.step_seconds_mean =
        step_seconds / static_cast<double>(measured_steps);
  }
  outcome.wasted_share = WastedShare(experiment.world().instance(0));
  return outcome;
}

namespace {

/// Mean step time of one trainer that has the engines for itself.
double StepSeconds(const testing::WorldSettings& world,
                   const RolloutSchedulerSettings& scheduler,
                   std::uint32_t groups, double* wasted) {
  TrainerModelSettings trainer = MakeTrainer("alone", groups, seconds(1));
  trainer.steps_ahead = 0;
  trainer.warm_up_steps = 1;
  Experiment experiment(world, scheduler, {trainer});
  const auto is_done = [&experiment] {
    return experiment.Reports(false)[0].step_times.size() >= kStepsMeasured;
  };
  experiment.world().RunUntil(is_done, hours(100));
  const auto report = experiment.Reports(false)[0];
  if (wasted != nullptr) *wasted = WastedShare(experiment.world().instance(0));
  const Duration sum = std::accumulate(
      report.step_times.begin(), report.step_times.end(), Duration::zero());
  return Seconds(sum) / static_cast<double>(report.step_times.size());
}

}  // namespace

StepTime MeasureStepTime(const Deployment& deployment, std::uint32_t groups) {
  StepTime result;
  result.deployment = deployment.name;
  result.samples = groups * kSamplesPerGroup;
  testing::WorldSettings world = deployment.world;
  world.swap_interval = Duration::zero();
  world.outages.clear();
  const Policy hedged = Ours(0);
  Policy not_hedged = hedged;
  not_hedged.settings.stragglers.is_enabled = false;
  result.hedged =
      StepSeconds(world, hedged.settings, groups, &result.hedge_cost);
  result.not_hedged = StepSeconds(world, not_hedged.settings, groups, nullptr);
  world.straggler_share = 0;
  result.without_stragglers =
      StepSeconds(world, not_hedged.settings, groups, nullptr);
  return result;
}

testing::TrainerModelReport RunProof(const ProofSettings& settings) {
  testing::WorldSettings world;
  world.instances = 3;
  world.engines = 9;
  world.slots_per_engine = 16;
  world.tokens_per_second = 100;
  world.mean_tokens = 400;
  world.swap_interval = seconds(20);
  world.swap_stagger = milliseconds(700);
  world.swap_pause = seconds(1);
  world.failed_swaps = 0.1;
  world.report_lag = seconds(5);
  world.unlabelled_runs = 0.02;
  world.resumed_runs = 0.5;
  world.seed = settings.seed;
  for (int i = 0; i < 500; ++i) {
    const auto engine = static_cast<std::size_t>(i) % world.engines;
    world.outages.push_back(
        {engine, engine + 1, seconds(37 * (i + 1)), seconds(30)});
  }
  RolloutSchedulerSettings scheduler;
  scheduler.trainer.staleness.is_enforced = settings.enforces_staleness;
  scheduler.trainer.ledger.requires_versions = settings.requires_versions;
  std::vector<TrainerModelSettings> trainers;
  for (const char* name : {"a", "b", "c"}) {
    TrainerModelSettings trainer = MakeTrainer(name, 64, seconds(5));
    trainer.samples_per_group = 8;
    trainer.staleness_bound = 1;
    trainer.faults = {0.03, 0.01, 0.01, 0.01, 0.05, 0.01};
    trainer.protections = settings.protections;
    trainers.push_back(trainer);
  }
  Experiment experiment(world, scheduler, trainers);
  const auto total = [&experiment] {
    TrainerModelReport sum;
    for (const auto& report : experiment.Reports(true)) {
      sum.steps += report.steps;
      sum.samples += report.samples;
      sum.lost += report.lost;
      sum.doubled += report.doubled;
      sum.mislabelled += report.mislabelled;
      sum.over_age += report.over_age;
      sum.kills += report.kills;
      sum.lost_replies += report.lost_replies;
    }
    return sum;
  };
  const std::uint64_t step_samples = 64ULL * 8;
  const auto is_done = [&] {
    return total().steps * step_samples >= settings.samples;
  };
  experiment.world().RunUntil(is_done, hours(10));
  TrainerModelReport report = total();
  if (is_done()) {
    // Groups still to come are not lost; a run that ran out of time lost them.
    report.lost = 0;
    for (const auto& each : experiment.Reports(false)) report.lost += each.lost;
  }
  return report;
}

}  // namespace briarspread::bench
