#ifndef BRIARSPREAD_ROLLOUT_TRAINER_ROLLOUT_H_
#define BRIARSPREAD_ROLLOUT_TRAINER_ROLLOUT_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/rollout/cursor.h"
#include "briarspread/rollout/duration_window.h"
#include "briarspread/rollout/staleness_policy.h"
#include "briarspread/rollout/step_ledger.h"
#include "briarspread/rollout/trainer_pace.h"
#include "briarspread/rollout/trainer_stats.h"

namespace briarspread {

/// Settings of `TrainerRollout`.
struct TrainerRolloutSettings {
  StepLedgerSettings ledger;
  StalenessSettings staleness;
  /// Maximum number of steps kept at the same time; limits memory.
  std::size_t max_steps = 8;
  /// Maximum number of samples in one batch. A batch may exceed it with a
  /// single group, because groups are never split.
  std::size_t max_batch_samples = 4096;
};

/// One group in a batch.
struct DeliveredGroup {
  GroupId id;
  /// All samples of the group, in order.
  std::vector<FinishedSample> samples;
};

/// The reply to one pull of a trainer.
struct Batch {
  StepNumber step;
  /// The groups that are ready; may be empty.
  std::vector<DeliveredGroup> groups;
  /// The trainer's cursor once it has stored the groups.
  Cursor next;
  /// Whether the trainer then has all groups of the step.
  bool is_whole = false;
};

/// The remaining demand of one step of a trainer for engine time.
struct StepDemand {
  TrainerId trainer;
  StepNumber step;
  /// Remaining engine time, summed over all samples.
  Duration work{};
  /// Expected time until the trainer pulls from the step.
  Duration until_need{};
  /// Expected duration of the last runs of the step.
  Duration tail{};
  /// When the step was submitted.
  TimePoint submitted{};
  /// Whether any sample waits to be run.
  bool has_pending = false;
};

/// Provides the weight versions that an offered slot would sample with.
class ServedVersions {
 public:
  virtual ~ServedVersions() = default;
  /// Returns the newest version reported by an engine that is offered for
  /// `model`; nothing if it is not known.
  virtual std::optional<WeightVersion> NewestServed(
      const ModelName& model) const = 0;
};

/// One trainer's steps, pace and statistics. Not thread-safe.
class TrainerRollout {
 public:
  /// Precondition: `clock` outlives this object.
  TrainerRollout(const TrainerRolloutSettings& settings, TrainerId trainer,
                 const Clock& clock);

  /// Adds a step and returns its opening cursor. Idempotent. Returns
  /// `kConflict` if the step is known with a different body, and `kOverloaded`
  /// if too many steps are open.
  Result<Cursor> Submit(StepNumber step, const StepSpec& spec);
  /// Returns the step's ledger, or null if the step is unknown.
  StepLedger* Find(StepNumber step);

  /// Appends the remaining demands of the steps in ascending order of steps.
  /// `slots` is the number of slots that the trainer can expect to use.
  void AppendDemands(double slots, std::vector<StepDemand>& demands) const;
  /// Returns whether samples of `demand` that are started now on engines that
  /// serve `served` (may be null) are expected to be fresh enough when the
  /// trainer needs them. Counts the demand in the statistics if not.
  bool IsWorthStarting(const StepDemand& demand, std::uint64_t rule_bound,
                       const ServedVersions* served);
  /// Returns whether a run whose oldest version so far is `oldest` is expected
  /// to finish with a sample that is fresh enough. `elapsed` is the time since
  /// its start.
  bool IsWorthRunning(StepNumber step, WeightVersion oldest, Duration elapsed,
                      std::uint64_t rule_bound) const;

  /// Returns a batch of groups that are complete and not marked as delivered in
  /// `cursor`. Returns `kNotFound` if the step is unknown on this instance, and
  /// `kConflict` if it has a different body.
  Result<Batch> Pull(const Cursor& cursor, WeightVersion newest,
                     std::uint64_t rule_bound);
  /// Called with a version that is known to exist. If it is the newest,
  /// finished samples that are too old, or are expected to be when the trainer
  /// needs them, are dropped and run again.
  void OnVersion(WeightVersion newest, std::uint64_t rule_bound);
  /// Called with the versions that engines report, because a trainer reports no
  /// versions while it computes.
  void OnServedVersions(const ServedVersions& served, std::uint64_t rule_bound);
  /// Records the sample of a finished run. Precondition: the step is known and
  /// the sample is running.
  FinishOutcome Finish(StepNumber step, const SamplePlace& place,
                       FinishedSample sample, Duration duration,
                       std::uint64_t rule_bound);

  /// Returns a sample that waits to be scored, which then counts as being
  /// scored; nothing if none waits.
  std::optional<std::pair<StepNumber, SamplePlace>> NextScoring();

  const DurationWindow& durations() const { return durations_; }
  const TrainerPace& pace() const { return pace_; }
  TrainerStats& stats() { return stats_; }
  const TrainerStats& stats() const { return stats_; }
  /// Returns the mean number of tokens in a finished sample.
  std::uint64_t MeanTokens() const;
  /// Returns the lower one of the step's staleness bound and the rule's.
  static std::uint64_t BoundOf(const StepSpec& spec, std::uint64_t rule_bound);

 private:
  /// Returns the expected engine time of the remaining runs.
  Duration WorkOf(const StepLedger& ledger) const;
  /// Returns the newest version expected to exist when the trainer needs
  /// `step`; the newest known one if even samples generated now would be too
  /// old then.
  WeightVersion NewestAtNeed(StepNumber step, std::uint64_t bound) const;
  /// Returns the error for a cursor that does not match a known step.
  std::optional<Error> CheckCursor(const Cursor& cursor) const;
  void DropStepsBefore(StepNumber step);
  void AddToBatch(std::size_t group, const StepLedger& ledger, Batch& batch);

  const TrainerRolloutSettings settings_;
  const TrainerId trainer_;
  const Clock& clock_;
  const StalenessPolicy staleness_;
  std::map<StepNumber, StepLedger> steps_;
  TrainerPace pace_;
  /// Durations of finished runs.
  DurationWindow durations_;
  TrainerStats stats_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_ROLLOUT_H_
