#include "bench/rollout_bench/scenarios.h"

#include <algorithm>
#include <numeric>

#include "tests/rollout_model/experiment.h"

namespace briarspread::bench {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using testing::Experiment;
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
  deployment.simulation.engines = 9;
  deployment.simulation.seed = seed;
  deployment.trainers = {MakeTrainer("order", 128, seconds(480)),
                         MakeTrainer("quote", 32, seconds(240)),
                         MakeTrainer("stock", 64, seconds(520))};
  return deployment;
}

Deployment Caledonian(std::uint64_t seed) {
  Deployment deployment{"caledonian", {}, {}};
  deployment.simulation.engines = 8;
  deployment.simulation.seed = seed;
  deployment.trainers = {MakeTrainer("report", 96, seconds(400)),
                         MakeTrainer("fitter", 48, seconds(400)),
                         MakeTrainer("booking", 32, seconds(300))};
  return deployment;
}

void AddFaults(Deployment& deployment) {
  // One engine of the first zone, and all engines of the second of three zones.
  const std::size_t third = deployment.simulation.engines / 3;
  deployment.simulation.outages = {{0, 1, hours(1), hours(1)},
                                   {third, 2 * third, hours(3), minutes(10)}};
  deployment.simulation.failed_swaps = 0.03;
}

Policy OwnPolicy(double staleness_weight) {
  Policy policy{"ours", {}};
  policy.settings.lead.staleness_weight = staleness_weight;
  return policy;
}

std::vector<Policy> Baselines() {
  Policy first_come = OwnPolicy(0);
  first_come.name = "first-come";
  first_come.settings.share.mode = ShareMode::kFirstCome;
  first_come.settings.stragglers.is_enabled = false;
  first_come.settings.trainer.staleness.cancels_early = false;
  Policy turns = first_come;
  turns.name = "equal-turns";
  turns.settings.share.mode = ShareMode::kRoundRobin;
  Policy not_hedged = OwnPolicy(LeadSettings{}.staleness_weight);
  not_hedged.name = "no-hedging";
  not_hedged.settings.stragglers.is_enabled = false;
  Policy not_cut = OwnPolicy(LeadSettings{}.staleness_weight);
  not_cut.name = "no-early-cut";
  not_cut.settings.trainer.staleness.cancels_early = false;
  return {first_come, turns, not_hedged, not_cut};
}

Outcome Run(const Deployment& deployment, const Policy& policy,
            const std::string& faults) {
  Experiment experiment(deployment.simulation, policy.settings,
                        deployment.trainers);
  experiment.simulation().RunUntil([] { return false; }, kHorizon);
  Outcome outcome;
  outcome.deployment = deployment.name;
  outcome.policy = policy.name;
  outcome.faults = faults;
  double step_seconds = 0;
  double staleness = 0;
  std::uint64_t samples = 0;
  std::uint64_t measured_steps = 0;
  std::uint64_t batches = 0;
  const auto reports = experiment.Reports(false);
  for (const TrainerModelReport& report : reports) {
    const double idle = report.measured > Duration::zero()
                            ? Seconds(report.idle) / Seconds(report.measured)
                            : 1;
    outcome.worst_idle_share = std::max(outcome.worst_idle_share, idle);
    outcome.idle_share += idle / static_cast<double>(reports.size());
    outcome.steps += report.steps;
    batches += report.batches;
    outcome.violations +=
        report.lost + report.duplicated + report.mislabelled + report.too_stale;
    // The highest value of all trainers, because the staleness bound holds for
    // each of them.
    outcome.staleness_p95 =
        std::max(outcome.staleness_p95, report.staleness.Percentile95());
    staleness +=
        report.staleness.Mean() * static_cast<double>(report.staleness.count());
    samples += report.staleness.count();
    for (const Duration time : report.step_times) step_seconds += Seconds(time);
    measured_steps += report.step_times.size();
  }
  if (outcome.steps > 0) {
    outcome.batches_per_step =
        static_cast<double>(batches) / static_cast<double>(outcome.steps);
  }
  if (samples > 0) {
    outcome.staleness_mean = staleness / static_cast<double>(samples);
  }
  if (measured_steps > 0) {
    outcome.step_seconds_mean =
        step_seconds / static_cast<double>(measured_steps);
  }
  outcome.wasted_share = WastedShare(experiment.simulation().instance(0));
  return outcome;
}

namespace {

/// Returns the mean step time of a single trainer that uses all engines alone.
double MeanStepSeconds(const testing::SimulationSettings& simulation,
                       const RolloutSchedulerSettings& scheduler,
                       std::uint32_t groups, double* cost) {
  TrainerModelSettings trainer = MakeTrainer("alone", groups, seconds(1));
  trainer.steps_ahead = 0;
  trainer.warm_up_steps = 1;
  Experiment experiment(simulation, scheduler, {trainer});
  const auto is_done = [&experiment] {
    return experiment.Reports(false)[0].step_times.size() >= kStepsMeasured;
  };
  experiment.simulation().RunUntil(is_done, hours(100));
  const auto report = experiment.Reports(false)[0];
  if (cost != nullptr) *cost = WastedShare(experiment.simulation().instance(0));
  const Duration sum = std::accumulate(
      report.step_times.begin(), report.step_times.end(), Duration::zero());
  return Seconds(sum) / static_cast<double>(report.step_times.size());
}

}  // namespace

StepTime MeasureStepTime(const Deployment& deployment, std::uint32_t groups) {
  StepTime result;
  result.deployment = deployment.name;
  result.samples = groups * kSamplesPerGroup;
  testing::SimulationSettings simulation = deployment.simulation;
  simulation.swap_interval = Duration::zero();
  simulation.outages.clear();
  const Policy hedged = OwnPolicy(0);
  Policy not_hedged = hedged;
  not_hedged.settings.stragglers.is_enabled = false;
  result.hedged =
      MeanStepSeconds(simulation, hedged.settings, groups, &result.hedge_cost);
  result.not_hedged =
      MeanStepSeconds(simulation, not_hedged.settings, groups, nullptr);
  simulation.straggler_share = 0;
  result.without_stragglers =
      MeanStepSeconds(simulation, not_hedged.settings, groups, nullptr);
  return result;
}

}  // namespace briarspread::bench
