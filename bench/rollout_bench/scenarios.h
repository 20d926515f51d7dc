#ifndef BENCH_ROLLOUT_BENCH_SCENARIOS_H_
#define BENCH_ROLLOUT_BENCH_SCENARIOS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/rollout_model/trainer_model.h"

namespace briarspread::bench {

/// A deployment's engines and trainers.
struct Deployment {
  std::string name;
  testing::WorldSettings world;
  std::vector<testing::TrainerModelSettings> trainers;
};

/// A named way to schedule: ours, or a baseline.
struct Policy {
  std::string name;
  RolloutSchedulerSettings settings;
};

/// What one run of a deployment under a policy measured, over all trainers.
struct Outcome {
  std::string deployment;
  std::string policy;
  std::string faults;
  /// The highest and the mean idle share of a trainer.
  double worst_idle_share = 0;
  double idle_share = 0;
  double staleness_mean = 0;
  std::uint64_t staleness_p95 = 0;
  double step_seconds_mean = 0;
  /// Tokens that reached no trainer, as a share of all.
  double wasted_share = 0;
  std::uint64_t steps = 0;
  /// Batches in which a step reaches its trainer, on average. A ledger in the
  /// store would take a write for each.
  double batches_per_step = 0;
  std::uint64_t broken_promises = 0;
};

/// Mantaro's 9 rollout replicas and Caledonian's 8, three trainers each.
Deployment Mantaro(std::uint64_t seed);
Deployment Caledonian(std::uint64_t seed);

/// Swaps alone, or also one engine lost for an hour and a zone for ten minutes.
void AddFaults(Deployment& deployment);

/// Ours at an objective in [0, 1].
Policy Ours(double staleness_weight);
/// First-come first-served, equal turns, no hedging, no early cut.
std::vector<Policy> Baselines();

/// Runs four hours.
Outcome Run(const Deployment& deployment, const Policy& policy,
            const std::string& faults);

/// Time of one step alone on the deployment's engines, its mean over `steps`.
struct StepTime {
  std::string deployment;
  std::uint32_t samples = 0;
  double without_stragglers = 0;
  double hedged = 0;
  double not_hedged = 0;
  /// Second runs' share of the step's tokens.
  double hedge_cost = 0;
};
StepTime MeasureStepTime(const Deployment& deployment, std::uint32_t groups);

}  // namespace briarspread::bench

#endif  // BENCH_ROLLOUT_BENCH_SCENARIOS_H_
