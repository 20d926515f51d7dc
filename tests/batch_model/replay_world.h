#ifndef TESTS_BATCH_MODEL_REPLAY_WORLD_H_
#define TESTS_BATCH_MODEL_REPLAY_WORLD_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "tests/batch_model/replay.h"

namespace briarspread::testing {

/// Simulates the trainers, the engines, and the scheduling of items and version
/// loads under a policy. Not thread-safe.
class ReplayWorld final {
 public:
  ReplayWorld(const ReplayLoad& load, const ReplayFleet& fleet,
              const ReplayPolicy& policy);

  /// Simulates the whole load and returns the results. To be called once.
  ReplayOutcome Run();

 private:
  enum class Phase { kWaiting, kRunning, kComplete };

  struct Item {
    LoadItem spec;
    std::size_t trainer = 0;
    std::uint64_t prompt = 0;
    Phase phase = Phase::kWaiting;
    double events_done = 0;
    std::size_t engine = 0;
    TimePoint placed_at{};
    /// The oldest version that produced any of the item's events.
    std::uint64_t version = 0;
    /// When the item's result is listed.
    TimePoint listed_at{};
    bool is_resumed = false;
    std::vector<UpstreamId> avoid;
  };

  /// A submitted step whose trainer waits for results.
  struct Step {
    TimePoint submitted_at{};
    std::uint64_t oldest_allowed = 0;
    std::uint64_t wanted = 0;
    std::vector<std::uint64_t> items;
  };

  struct Trainer {
    const LoadTrainer* load = nullptr;
    std::size_t next_step = 0;
    TimePoint next_submission{};
    /// When the next version is named; nothing unless the trainer is training.
    std::optional<TimePoint> version_due_at;
    std::uint64_t newest_version = 1;
    std::optional<Step> step;
    /// Items of incomplete groups of earlier steps; the next step includes
    /// them.
    std::vector<std::uint64_t> incomplete_items;
  };

  struct Engine {
    EngineBatch batch;
    std::map<std::size_t, std::uint64_t> versions;
    /// The trainer whose version is being loaded; nothing if none is.
    std::optional<std::size_t> loading;
    TimePoint loaded_at{};
    std::uint64_t loading_version = 0;
  };

  void ApplyFaults();
  void StepTrainer(std::size_t t);
  void Submit(std::size_t t);
  void CheckStep(std::size_t t);
  void EndStep(std::size_t t, std::uint64_t complete);
  std::map<std::uint32_t, std::vector<std::uint64_t>> GroupsOf(
      const Step& step) const;
  void OrderLoads();
  void StartLoad(std::size_t engine, std::size_t trainer,
                 std::uint64_t version);
  void FinishLoads();
  std::vector<versions::VersionOrder> PlanLoads() const;
  void PlaceItems();
  void PlaceItem(std::uint64_t id);
  std::optional<std::size_t> ChooseEngine(const Item& item,
                                          std::uint64_t oldest_allowed);
  std::vector<batch::EngineView> ViewsFor(const Item& item) const;
  batch::EngineRequirements NeedOf(const Item& item,
                                   std::uint64_t oldest_allowed) const;
  void MoveItems();
  void AdvanceEngines(Duration step);
  void StopRun(std::uint64_t id);
  static ModelName ModelOf(std::size_t trainer);
  static UpstreamId IdOf(std::size_t engine);

  const ReplayLoad& load_;
  const ReplayFleet& fleet_;
  const ReplayPolicy& policy_;
  const batch::EnginePlacement placement_;
  const versions::VersionPlanner planner_;
  TimePoint start_;
  TimePoint now_;
  std::vector<Engine> engines_;
  std::vector<Trainer> trainers_;
  std::vector<Item> items_;
  /// Items that wait for an engine, in the order in which they began to wait.
  std::vector<std::uint64_t> waiting_;
  /// The engine on which each prompt was used last.
  std::map<std::uint64_t, std::size_t> engine_of_prompt_;
  std::size_t next_round_robin_engine_ = 0;
  std::uint64_t next_prompt_ = 0;
  ReplayOutcome outcome_;
  std::uint64_t items_done_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_REPLAY_WORLD_H_
