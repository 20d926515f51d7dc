#ifndef BENCH_ROLLOUT_BENCH_SCENARIOS_H_
#define BENCH_ROLLOUT_BENCH_SCENARIOS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/rollout_model/trainer_model.h"

namespace briarspread::bench {

/// Simulation settings of a deployment's engines and trainers.
struct Deployment {
  std::string name;
  testing::SimulationSettings simulation;
  std::vector<testing::TrainerModelSettings> trainers;
};

/// A named scheduling policy: that of this project or a baseline.
struct Policy {
  std::string name;
  RolloutSchedulerSettings settings;
};

/// Measurements of one run of a deployment with a policy, over all trainers.
struct Outcome {
  std::string deployment;
  std::string policy;
  std::string faults;
  /// The highest and the mean idle share of the trainers.
  double worst_idle_share = 0;
  double idle_share = 0;
  double staleness_mean = 0;
  std::uint64_t staleness_p95 = 0;
  double step_seconds_mean = 0;
  /// Tokens that were wasted or dropped as stale, as a share of all tokens.
  double wasted_share = 0;
  std::uint64_t steps = 0;
  /// Mean number of batches in which a step is delivered. If deliveries were
  /// recorded in the store, each batch would need a write.
  double batches_per_step = 0;
  std::uint64_t violations = 0;
};

/// Return the deployments of Mantaro, with 9 rollout replicas, and Caledonian,
/// with 8; each has three trainers.
Deployment Mantaro(std::uint64_t seed);
Deployment Caledonian(std::uint64_t seed);

/// Adds failed swaps, the outage of one engine for an hour and the outage of a
/// zone for ten minutes.
void AddFaults(Deployment& deployment);

/// Returns the policy of this project with a staleness weight in [0, 1].
Policy OwnPolicy(double staleness_weight);
/// Returns the baselines: first come first served, round robin, no hedging, and
/// no early cancellation of stale work.
std::vector<Policy> Baselines();

/// Runs a deployment with a policy for four simulated hours. `faults` is the
/// name of the injected faults in the outcome.
Outcome Run(const Deployment& deployment, const Policy& policy,
            const std::string& faults);

/// Mean time in seconds of one step that uses all engines of a deployment
/// alone.
struct StepTime {
  std::string deployment;
  std::uint32_t samples = 0;
  double without_stragglers = 0;
  double hedged = 0;
  double not_hedged = 0;
  /// Share of wasted tokens with hedging.
  double hedge_cost = 0;
};
StepTime MeasureStepTime(const Deployment& deployment, std::uint32_t groups);

}  // namespace briarspread::bench

#endif  // BENCH_ROLLOUT_BENCH_SCENARIOS_H_
