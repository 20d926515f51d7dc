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
  /// Steps kept at once; bounds memory.
  std::size_t max_steps = 8;
  /// The most samples in one batch; a group is never split.
  std::size_t max_batch_samples = 4096;
};

/// One group as it is handed over.
struct DeliveredGroup {
  GroupId id;
  /// In order; all of the group.
  std::vector<FinishedSample> samples;
};

/// The reply to one pull.
struct Batch {
  StepNumber step;
  /// Empty where none is ready.
  std::vector<DeliveredGroup> groups;
  /// What the trainer holds once it has stored the groups.
  Cursor next;
  /// Whether nothing of the step is left then.
  bool is_whole = false;
};

/// What one step of a trainer still asks of the engines.
struct StepDemand {
  TrainerId trainer;
  StepNumber step;
  /// Engine time that it still takes, over all samples.
  Duration work{};
  /// Time until the trainer needs it.
  Duration until_need{};
  /// Time that the last of its samples take.
  Duration tail{};
  /// When it was submitted.
  TimePoint submitted{};
  /// Whether some sample waits to be run.
  bool has_pending = false;
};

/// Tells which weights an offered slot would sample with.
class ServedVersions {
 public:
  virtual ~ServedVersions() = default;
  /// The newest version that an engine offered for `model` reports; nothing
  /// where not known.
  virtual std::optional<WeightVersion> NewestServed(
      const ModelName& model) const = 0;
};

/// One trainer's steps and what is known of its pace. Not thread-safe.
class TrainerRollout {
 public:
  /// Precondition: `clock` outlives this object.
  TrainerRollout(const TrainerRolloutSettings& settings, TrainerId trainer,
                 const Clock& clock);

  /// Takes a step and returns its opening cursor. The same step again does
  /// nothing; `kConflict` where its body is another, `kOverloaded` where too
  /// many steps are open.
  Result<Cursor> Submit(StepNumber step, const StepSpec& spec);
  /// The step's ledger, or null where it is not known.
  StepLedger* Find(StepNumber step);

  /// Appends what the steps still ask for, in the order of need, where the
  /// trainer can count on `slots` slots.
  void AppendDemands(double slots, std::vector<StepDemand>& demands) const;
  /// Whether work on `demand` that starts now on engines that serve `served`
  /// (may be null) would be fresh enough when the trainer needs it.
  bool IsWorthStarting(const StepDemand& demand, std::uint64_t rule_bound,
                       const ServedVersions* served);
  /// Whether a run with `oldest` so far is still worth its time.
  bool IsWorthRunning(StepNumber step, WeightVersion oldest, Duration elapsed,
                      std::uint64_t rule_bound) const;

  /// Hands over what is complete and not in `cursor`. `kNotFound` where the
  /// step is not known here, `kConflict` where its body is another.
  Result<Batch> Pull(const Cursor& cursor, WeightVersion newest,
                     std::uint64_t rule_bound);
  /// Learns of a version. Samples that are too old now, or are expected to be
  /// when the trainer needs them, are dropped and run again.
  void OnVersion(WeightVersion newest, std::uint64_t rule_bound);
  /// Learns of versions that engines report: a trainer that computes tells
  /// nothing, yet its samples age.
  void OnServed(const ServedVersions& served, std::uint64_t rule_bound);
  /// Takes a finished run's sample.
  FinishOutcome Finish(StepNumber step, const SamplePlace& place,
                       FinishedSample sample, Duration duration,
                       std::uint64_t rule_bound);

  /// A sample that waits for its score, now counted as being scored.
  std::optional<std::pair<StepNumber, SamplePlace>> NextScoring();

  const DurationWindow& durations() const { return durations_; }
  const TrainerPace& pace() const { return pace_; }
  TrainerStats& stats() { return stats_; }
  const TrainerStats& stats() const { return stats_; }
  /// Tokens of a sample, on average.
  std::uint64_t MeanTokens() const;
  /// The step's own bound or the rule's, whichever is lower.
  static std::uint64_t BoundOf(const StepSpec& spec, std::uint64_t rule_bound);

 private:
  Duration WorkOf(const StepLedger& ledger) const;
  WeightVersion NewestAtNeed(StepNumber step, std::uint64_t bound) const;
  std::optional<Error> Check(const Cursor& cursor) const;
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
