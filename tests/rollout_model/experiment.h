#ifndef TESTS_ROLLOUT_MODEL_EXPERIMENT_H_
#define TESTS_ROLLOUT_MODEL_EXPERIMENT_H_

#include <memory>
#include <vector>

#include "tests/rollout_model/rollout_simulation.h"
#include "tests/rollout_model/trainer_model.h"

namespace briarspread::testing {

/// One simulation with its trainers. Not thread-safe.
class Experiment {
 public:
  /// Starts all trainers.
  Experiment(const SimulationSettings& simulation,
             const RolloutSchedulerSettings& scheduler,
             const std::vector<TrainerModelSettings>& trainers)
      : simulation_(simulation, scheduler) {
    for (const TrainerModelSettings& trainer : trainers) {
      trainers_.push_back(std::make_unique<TrainerModel>(trainer, simulation_));
    }
    simulation_.OnGroupComplete([this] {
      for (const auto& trainer : trainers_) trainer->PullIfWaiting();
    });
    for (const auto& trainer : trainers_) trainer->Start();
  }

  /// The simulation without the trainers, to run and inspect it.
  RolloutSimulation& simulation() { return simulation_; }
  /// Returns each trainer's current report. Samples of the open step that have
  /// not arrived count as lost if `open_step_is_lost`.
  std::vector<TrainerModelReport> Reports(bool open_step_is_lost) const {
    std::vector<TrainerModelReport> reports;
    for (const auto& trainer : trainers_) {
      reports.push_back(trainer->Report(open_step_is_lost));
    }
    return reports;
  }

 private:
  RolloutSimulation simulation_;
  std::vector<std::unique_ptr<TrainerModel>> trainers_;
};

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_EXPERIMENT_H_
