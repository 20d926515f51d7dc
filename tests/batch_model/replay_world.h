#ifndef TESTS_BATCH_MODEL_REPLAY_WORLD_H_
#define TESTS_BATCH_MODEL_REPLAY_WORLD_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "tests/batch_model/replay.h"

namespace briarspread::testing {

/// The trainers, the engines and the decisions between them. Not thread-safe.
class ReplayWorld final {
 public:
  ReplayWorld(const ReplayLoad& load, const ReplayFleet& fleet,
              const ReplayPolicy& policy);

  /// Plays the load to its end.
  ReplayOutcome Play();

 private:
  enum class Phase { kWaiting, kRunning, kWhole };

  struct Item {
    LoadItem spec;
    std::size_t trainer = 0;
    std::uint64_t prompt = 0;
    Phase phase = Phase::kWaiting;
    double made = 0;
    std::size_t engine = 0;
    TimePoint placed{};
    /// The oldest version that made its text.
    std::uint64_t version = 0;
    /// When its result stands in the list.
    TimePoint listed{};
    bool is_carried = false;
    std::vector<UpstreamId> avoid;
  };

  /// A step under way.
  struct Step {
    TimePoint submitted{};
    std::uint64_t oldest_allowed = 0;
    std::uint64_t wanted = 0;
    std::vector<std::uint64_t> items;
  };

  struct Trainer {
    const LoadTrainer* load = nullptr;
    std::size_t next_step = 0;
    TimePoint next_submission{};
    /// When the version that it has made is named.
    std::optional<TimePoint> names_at;
    std::uint64_t named = 1;
    std::optional<Step> step;
    /// Items of groups that were not complete; they come first next time.
    std::vector<std::uint64_t> carried;
  };

  struct Engine {
    EngineBatch batch;
    std::map<std::size_t, std::uint64_t> versions;
    /// The trainer whose version is being loaded.
    std::optional<std::size_t> loading;
    TimePoint loaded_at{};
    std::uint64_t loading_version = 0;
  };

  void ApplyFaults();
  void StepTrainer(std::size_t t);
  void Submit(std::size_t t);
  void ReviewStep(std::size_t t);
  void EndStep(std::size_t t, std::uint64_t complete);
  std::map<std::uint32_t, std::vector<std::uint64_t>> GroupsOf(
      const Step& step) const;
  void OrderLoads();
  void StartLoad(std::size_t engine, std::size_t trainer,
                 std::uint64_t version);
  void FinishLoads();
  std::vector<versions::VersionOrder> PlanLoads() const;
  void PlaceItems();
  void PlaceOne(std::uint64_t id);
  std::optional<std::size_t> ChooseEngine(const Item& item,
                                          std::uint64_t oldest_allowed);
  std::vector<batch::EngineView> ViewsFor(const Item& item) const;
  batch::EngineRequirements NeedOf(const Item& item,
                                   std::uint64_t oldest_allowed) const;
  void MoveItems();
  void Work(Duration step);
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
  /// Items that wait, as they came.
  std::vector<std::uint64_t> waiting_;
  /// Where a prompt was read last.
  std::map<std::uint64_t, std::size_t> prompt_at_;
  std::size_t next_in_turn_ = 0;
  std::uint64_t next_prompt_ = 0;
  ReplayOutcome outcome_;
  std::uint64_t listed_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_REPLAY_WORLD_H_
