#ifndef TESTS_ROLLOUT_MODEL_TRAINER_MODEL_H_
#define TESTS_ROLLOUT_MODEL_TRAINER_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/rollout_model/rollout_world.h"

namespace briarspread::testing {

/// Faults that meet a trainer's pulls, each as a share of the pulls that would
/// bring groups.
struct PullFaults {
  double reply_lost = 0;
  double killed_before_reply = 0;
  /// The instance dies while it replies: the reply is lost too.
  double killed_in_reply = 0;
  double killed_after_reply = 0;
  /// Two instances run the step and answer one cursor; one reply is kept.
  double asked_twice = 0;
  /// The trainer dies and starts from its saved state, one batch back.
  double trainer_restored = 0;
};

/// Protections to be switched off, to show what they prevent.
struct TrainerProtections {
  /// Pulls with the cursor that came with the last batch.
  bool sends_cursor = true;
  /// Moves the cursor only when the batch arrived.
  bool keeps_cursor_with_batch = true;
  /// Posts the step again where it is not known.
  bool posts_step_again = true;
};

/// One trainer.
struct TrainerModelSettings {
  TrainerId id;
  std::uint32_t groups = 128;
  std::uint32_t samples_per_group = 16;
  std::uint64_t staleness_bound = 4;
  /// Time it computes on a step, give or take a tenth.
  Duration compute = seconds(300);
  /// Steps submitted ahead of the open one.
  std::uint64_t steps_ahead = 2;
  /// Steps before anything is measured.
  std::uint64_t warm_up_steps = 2;
  PullFaults faults;
  TrainerProtections protections;
};

/// What reached a trainer, checked against the truth that samples carry.
struct TrainerModelReport {
  std::uint64_t steps = 0;
  std::uint64_t batches = 0;
  std::uint64_t samples = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t mislabelled = 0;
  std::uint64_t over_age = 0;
  std::uint64_t kills = 0;
  std::uint64_t lost_replies = 0;
  StalenessStats staleness;
  Duration idle{};
  Duration measured{};
  /// Times from opening a step to its last group.
  std::vector<Duration> step_times;
};

/// A trainer that opens a step, pulls until it is whole, computes, and opens
/// the next one. Not thread-safe.
class TrainerModel {
 public:
  /// Precondition: `world` outlives this object.
  TrainerModel(const TrainerModelSettings& settings, RolloutWorld& world);

  /// Opens the first step.
  void Start();
  /// Pulls, if it waits for groups.
  void PullIfWaiting();
  /// The report as of now. Groups of the open step that have not come count as
  /// lost where `open_step_is_lost`.
  TrainerModelReport Report(bool open_step_is_lost) const;

 private:
  StepSpec Spec() const;
  void OpenStep();
  void Announce(std::size_t instance, std::uint64_t step);
  void PollLater(std::uint64_t step);
  void Pull();
  Result<Batch> Ask(std::size_t instance);
  void Take(const Batch& batch);
  void TakeSample(const FinishedSample& sample);
  void EndStep();
  bool MeetsFault(double share);
  void KillCurrent();
  void Save();
  void Restore();

  const TrainerModelSettings settings_;
  RolloutWorld& world_;
  std::size_t current_ = 0;
  std::uint64_t step_ = 0;
  bool is_waiting_ = false;
  TimePoint opened_{};
  TimePoint measured_since_{};
  std::string opening_cursor_;
  std::string cursor_;
  /// Times that each group of the open step came.
  std::vector<std::uint32_t> came_;
  /// The state before the last batch, as saved: cursor and groups together.
  std::string saved_cursor_;
  std::vector<std::uint32_t> saved_came_;
  TrainerModelReport report_;
};

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_TRAINER_MODEL_H_
