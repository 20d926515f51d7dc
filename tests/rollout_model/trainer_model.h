#ifndef TESTS_ROLLOUT_MODEL_TRAINER_MODEL_H_
#define TESTS_ROLLOUT_MODEL_TRAINER_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/rollout_model/rollout_simulation.h"

namespace briarspread::testing {

/// Faults of a trainer's pulls, each as a share of the pulls whose reply would
/// have groups.
struct PullFaults {
  double reply_lost = 0;
  double killed_before_reply = 0;
  /// The instance crashes while it replies, so the reply is lost.
  double killed_in_reply = 0;
  double killed_after_reply = 0;
  /// Two instances run the step and answer the same cursor; one reply is used.
  double pulled_twice = 0;
  /// The trainer crashes and restarts from its saved state, before the last
  /// batch.
  double trainer_restored = 0;
};

/// Protections, which can be disabled to show what they prevent.
struct TrainerProtections {
  /// Whether the trainer pulls with the cursor of the last batch.
  bool sends_cursor = true;
  /// Whether the trainer stores a cursor only with its batch.
  bool keeps_cursor_with_batch = true;
  /// Whether the trainer submits a step again to an instance that does not know
  /// it.
  bool posts_step_again = true;
};

/// Settings of a `TrainerModel`.
struct TrainerModelSettings {
  TrainerId id;
  std::uint32_t groups = 128;
  std::uint32_t samples_per_group = 16;
  std::uint64_t staleness_bound = 4;
  /// Mean time to compute on a step; the time varies by up to a tenth.
  Duration compute = seconds(300);
  /// Number of steps submitted ahead of the open one.
  std::uint64_t steps_ahead = 2;
  /// Number of steps before measurements start.
  std::uint64_t warm_up_steps = 2;
  PullFaults faults;
  TrainerProtections protections;
};

/// What reached a trainer. Samples are checked against the versions that truly
/// generated them, which are their text.
struct TrainerModelReport {
  std::uint64_t steps = 0;
  std::uint64_t batches = 0;
  std::uint64_t samples = 0;
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t mislabelled = 0;
  std::uint64_t too_stale = 0;
  std::uint64_t kills = 0;
  std::uint64_t lost_replies = 0;
  StalenessStats staleness;
  Duration idle{};
  Duration measured{};
  /// Time from the opening of each step to the arrival of its last group.
  std::vector<Duration> step_times;
};

/// Simulation of a trainer that opens a step, pulls until it has the whole
/// step, computes, and opens the next step. Not thread-safe.
class TrainerModel {
 public:
  /// Precondition: `simulation` outlives this object.
  TrainerModel(const TrainerModelSettings& settings,
               RolloutSimulation& simulation);

  /// Opens the first step.
  void Start();
  /// Pulls if the trainer waits for groups.
  void PullIfWaiting();
  /// Returns the current report. Groups of the open step that have not arrived
  /// count as lost if `open_step_is_lost`.
  TrainerModelReport Report(bool open_step_is_lost) const;

 private:
  StepSpec MakeSpec() const;
  void OpenStep();
  void SubmitStepTo(std::size_t instance, std::uint64_t step);
  void SchedulePull(std::uint64_t step);
  void Pull();
  Result<Batch> PullFrom(std::size_t instance);
  void AcceptBatch(const Batch& batch);
  void AcceptSample(const FinishedSample& sample);
  void EndStep();
  bool DrawFault(double share);
  void KillCurrent();
  void Save();
  void Restore();

  const TrainerModelSettings settings_;
  RolloutSimulation& simulation_;
  std::size_t current_ = 0;
  std::uint64_t step_ = 0;
  bool is_waiting_ = false;
  TimePoint opened_{};
  TimePoint measured_since_{};
  std::string opening_cursor_;
  std::string cursor_;
  /// Number of times that each group of the open step arrived.
  std::vector<std::uint32_t> arrivals_;
  /// The state saved before the last batch: the cursor together with the
  /// groups.
  std::string saved_cursor_;
  std::vector<std::uint32_t> saved_arrivals_;
  TrainerModelReport report_;
};

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_TRAINER_MODEL_H_
