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
#include "briarspread/rollout/lead_policy.h"
#include "briarspread/rollout/staleness_policy.h"
#include "briarspread/rollout/step_ledger.h"
#include "briarspread/rollout/trainer_pace.h"
#include "briarspread/rollout/trainer_stats.h"

namespace briarspread {

/// Settings of `TrainerRollout`.
struct TrainerRolloutSettings {
  StepLedgerSettings ledger;
  StalenessSettings staleness;
  LeadSettings lead;
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

/// A step of a trainer whose work may start.
struct StartableStep {
  StepNumber step;
  /// Engine time that the steps up to this one still take, over all samples.
  Duration work{};
  /// Time until the trainer needs it.
  Duration until_need{};
  /// When it was submitted.
  TimePoint submitted{};
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

  /// The first step whose work may start now, where the trainer can count on
  /// `slots` slots and engines serve `served`, which may be null.
  std::optional<StartableStep> NextStep(double slots, std::uint64_t rule_bound,
                                        const ServedVersions* served);
  /// Whether a run with `oldest` so far is still worth its time.
  bool IsWorthRunning(StepNumber step, WeightVersion oldest, Duration elapsed,
                      std::uint64_t rule_bound) const;

  /// Hands over what is complete and not in `cursor`. `kNotFound` where the
  /// step is not known here, `kConflict` where its body is another.
  Result<Batch> Pull(const Cursor& cursor, WeightVersion newest,
                     std::uint64_t rule_bound);
  /// The trainer told its newest version. Samples that are now too old are
  /// dropped and run again.
  void OnVersion(WeightVersion newest, std::uint64_t rule_bound);
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
  Duration UntilNeed(StepNumber step, Duration open_left) const;
  std::optional<Error> Check(const Cursor& cursor) const;
  void DropStepsBefore(StepNumber step);
  void AddToBatch(std::size_t group, const StepLedger& ledger, Batch& batch);

  const TrainerRolloutSettings settings_;
  const TrainerId trainer_;
  const Clock& clock_;
  const StalenessPolicy staleness_;
  const LeadPolicy lead_;
  std::map<StepNumber, StepLedger> steps_;
  TrainerPace pace_;
  /// Durations of finished runs.
  DurationWindow durations_;
  TrainerStats stats_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_ROLLOUT_H_
