#include "tests/rollout_model/fault_injection.h"

#include "tests/rollout_model/experiment.h"

namespace briarspread::testing {
namespace {

constexpr std::uint32_t kGroups = 64;
constexpr std::uint32_t kSamplesPerGroup = 8;
constexpr int kOutages = 500;
constexpr seconds kOutageInterval{37};
constexpr seconds kOutageLength{30};
/// Maximum simulated time, in case trainers never get their samples.
constexpr std::chrono::hours kLimit{10};

SimulationSettings MakeSimulation(std::uint64_t seed) {
  SimulationSettings simulation;
  simulation.instances = 3;
  simulation.slots_per_engine = 16;
  simulation.tokens_per_second = 100;
  simulation.mean_tokens = 400;
  simulation.swap_interval = seconds(20);
  simulation.swap_stagger = milliseconds(700);
  simulation.swap_pause = seconds(1);
  simulation.failed_swaps = 0.1;
  simulation.report_lag = seconds(5);
  simulation.unlabelled_runs = 0.02;
  simulation.resumed_runs = 0.5;
  simulation.seed = seed;
  for (int i = 0; i < kOutages; ++i) {
    const auto engine = static_cast<std::size_t>(i) % simulation.engines;
    simulation.outages.push_back(
        {engine, engine + 1, kOutageInterval * (i + 1), kOutageLength});
  }
  return simulation;
}

std::vector<TrainerModelSettings> MakeTrainers(
    const TrainerProtections& protections) {
  std::vector<TrainerModelSettings> trainers;
  for (const char* name : {"a", "b", "c"}) {
    TrainerModelSettings trainer;
    trainer.id = TrainerId(name);
    trainer.groups = kGroups;
    trainer.samples_per_group = kSamplesPerGroup;
    trainer.staleness_bound = 1;
    trainer.compute = seconds(5);
    trainer.faults.reply_lost = 0.03;
    trainer.faults.killed_before_reply = 0.01;
    trainer.faults.killed_in_reply = 0.01;
    trainer.faults.killed_after_reply = 0.01;
    trainer.faults.pulled_twice = 0.05;
    trainer.faults.trainer_restored = 0.01;
    trainer.protections = protections;
    trainers.push_back(trainer);
  }
  return trainers;
}

TrainerModelReport Sum(const std::vector<TrainerModelReport>& reports) {
  TrainerModelReport sum;
  for (const TrainerModelReport& report : reports) {
    sum.steps += report.steps;
    sum.samples += report.samples;
    sum.lost += report.lost;
    sum.duplicated += report.duplicated;
    sum.mislabelled += report.mislabelled;
    sum.too_stale += report.too_stale;
    sum.kills += report.kills;
    sum.lost_replies += report.lost_replies;
  }
  return sum;
}

}  // namespace

TrainerModelReport RunFaultInjection(const FaultInjectionSettings& settings) {
  RolloutSchedulerSettings scheduler;
  scheduler.trainer.staleness.is_enforced = settings.enforces_staleness;
  scheduler.trainer.ledger.requires_versions = settings.requires_versions;
  Experiment experiment(MakeSimulation(settings.seed), scheduler,
                        MakeTrainers(settings.protections));
  constexpr std::uint64_t kStepSamples =
      std::uint64_t{kGroups} * kSamplesPerGroup;
  const auto is_done = [&] {
    return Sum(experiment.Reports(false)).steps * kStepSamples >=
           settings.samples;
  };
  const auto is_over = [&] {
    return is_done() || HasViolations(Sum(experiment.Reports(false)));
  };
  experiment.simulation().RunUntil(is_over, kLimit);
  // Groups that have not arrived count as lost only if the run reached
  // `kLimit`.
  return Sum(experiment.Reports(!is_over()));
}

bool HasViolations(const TrainerModelReport& report) {
  return report.lost + report.duplicated + report.mislabelled +
             report.too_stale >
         0;
}

}  // namespace briarspread::testing
