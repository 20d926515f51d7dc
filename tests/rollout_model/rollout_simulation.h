#ifndef TESTS_ROLLOUT_MODEL_ROLLOUT_SIMULATION_H_
#define TESTS_ROLLOUT_MODEL_ROLLOUT_SIMULATION_H_

#include <functional>
#include <memory>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/rollout/rollout_scheduler.h"
#include "tests/rollout_model/engine_model.h"
#include "tests/rollout_model/event_clock.h"

namespace briarspread::testing {

/// One outage of several engines.
struct EngineOutage {
  /// Index of the first engine and one past the index of the last engine.
  std::size_t first = 0;
  std::size_t end = 0;
  Duration begins{};
  Duration lasts{};
};

/// Settings of a `RolloutSimulation`.
struct SimulationSettings {
  std::size_t instances = 1;
  std::size_t engines = 9;
  std::size_t slots_per_engine = 32;
  /// Slots of all engines that are reserved for live callers.
  std::size_t live_reserve = 0;
  double tokens_per_second = 25;
  /// Mean number of tokens in a sample; the number varies by up to a half.
  std::uint32_t mean_tokens = 500;
  /// Share of runs whose length is multiplied by `straggler_factor`.
  double straggler_share = 0.02;
  std::uint32_t straggler_factor = 10;
  /// Interval between versions; zero for no swaps.
  Duration swap_interval = std::chrono::minutes(3);
  /// Time between the swaps of two successive engines.
  Duration swap_stagger = seconds(3);
  Duration swap_pause = seconds(4);
  /// Share of swaps that fail. The engine then skips the version.
  double failed_swaps = 0;
  /// Lag of the versions in load reports.
  Duration report_lag = seconds(1);
  /// Share of runs whose engine omits the version of the last tokens.
  double unlabelled_runs = 0;
  /// Share of a failed engine's runs that are resumed on another engine.
  double resumed_runs = 0;
  std::vector<EngineOutage> outages;
  std::uint64_t seed = 20261204;
};

/// Simulation of engines, instances and weight versions with an event clock.
/// Deterministic. Not thread-safe.
class RolloutSimulation {
 public:
  RolloutSimulation(const SimulationSettings& settings,
                    const RolloutSchedulerSettings& scheduler);

  /// Runs events until `done` returns true or `limit` has passed since the
  /// start.
  void RunUntil(const std::function<bool()>& done, Duration limit);

  EventClock& clock() { return clock_; }
  RandomSource& random() { return random_; }
  /// The newest weight version.
  WeightVersion newest() const { return newest_; }
  std::size_t instance_count() const { return instances_.size(); }
  RolloutScheduler& instance(std::size_t i) { return *instances_[i].scheduler; }
  /// Kills an instance with its state and runs, and starts a new one in its
  /// place.
  void Kill(std::size_t i);
  /// Sets the function to call after a group became complete.
  void OnGroupComplete(std::function<void()> action) {
    group_complete_ = std::move(action);
  }
  /// Offers the free slots of all engines to the instances. To be called after
  /// steps were submitted.
  void OfferSlots();

 private:
  /// One instance between a start and a kill.
  struct Instance {
    std::unique_ptr<RolloutScheduler> scheduler;
    std::uint64_t incarnation = 0;
  };
  /// Provides the default rule for each trainer.
  class DefaultRules final : public TrainerRules {
   public:
    TrainerRule RuleOf(const TrainerId& trainer) const override {
      TrainerRule rule;
      rule.trainer = trainer;
      return rule;
    }
  };

  void Tick();
  void ReleaseVersion();
  void SwapEngine(std::size_t i, WeightVersion version);
  void BeginOutage(const EngineOutage& outage);
  void OfferSlotsOf(EngineModel& engine);
  void StartRun(EngineModel& engine, std::size_t instance,
                const SampleRun& run);
  void PlaceRun(EngineModel& engine, EngineRun run);
  void SetTimer(EngineModel& engine, std::uint64_t key);
  void EndRun(EngineModel& engine, std::uint64_t key, std::uint64_t timer);
  void ReportProgress();
  void CancelRuns();
  bool TryResume(const EngineRun& run);
  RolloutScheduler* OwnerOf(const EngineRun& run);
  std::uint32_t DrawLength();

  const SimulationSettings settings_;
  const RolloutSchedulerSettings scheduler_settings_;
  EventClock clock_;
  const TimePoint start_;
  SeededRandom random_;
  DefaultRules rules_;
  std::vector<std::unique_ptr<EngineModel>> engines_;
  std::vector<Instance> instances_;
  WeightVersion newest_{1};
  std::function<void()> group_complete_ = [] {};
};

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_ROLLOUT_SIMULATION_H_
