#ifndef BRIARSPREAD_ROLLOUT_STEP_LEDGER_H_
#define BRIARSPREAD_ROLLOUT_STEP_LEDGER_H_

#include <deque>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/rollout/sample.h"
#include "briarspread/rollout/staleness_policy.h"
#include "briarspread/rollout/step_spec.h"

namespace briarspread {

/// Settings of `StepLedger`.
struct StepLedgerSettings {
  /// Whether a sample is rejected unless the version of each token is known.
  /// Disabled only in tests that show what the check prevents.
  bool requires_versions = true;
};

/// Outcome of a finished run.
enum class FinishOutcome {
  /// The run's sample was accepted.
  kAccepted,
  /// Another run of the sample finished first; this run's sample is dropped.
  kDuplicate,
  /// The versions of some tokens are not known; the sample is rejected.
  kUnlabelled,
};

/// The samples of one step on this instance. The trainer's cursor is the only
/// record of deliveries, so two instances may both run a step and finish a
/// group with different samples. Finished groups are kept until the step is
/// dropped, because a reply may be lost and the trainer pulls with the same
/// cursor again. Not thread-safe.
class StepLedger {
 public:
  StepLedger(const StepLedgerSettings& settings, StepSpec spec,
             TimePoint submitted);

  const StepSpec& spec() const { return spec_; }
  std::uint64_t digest() const { return digest_; }
  TimePoint submitted() const { return submitted_; }

  /// Whether any sample waits to be run.
  bool HasPending() const { return !pending_.empty(); }
  /// Returns the next sample to run and counts it as running; nothing if no
  /// sample waits.
  std::optional<SamplePlace> StartNext();
  /// Counts a further run of a sample. Precondition: the sample is running.
  void StartFurtherRun(const SamplePlace& place);
  /// Records a finished run. Precondition: the sample is running.
  FinishOutcome Finish(const SamplePlace& place, FinishedSample sample);
  /// Records the end of a run without a sample. Returns whether the sample now
  /// waits to be run again; it does not if another run of it is in progress or
  /// finished, or if its group was delivered.
  bool Fail(const SamplePlace& place);
  /// Whether the sample is finished.
  bool IsFinished(const SamplePlace& place) const;

  /// Returns a finished sample that waits to be scored, which then counts as
  /// being scored; nothing if none waits.
  std::optional<SamplePlace> StartScoring();
  /// Sets the score of the sample that `run` produced. Does nothing if the
  /// sample already has a score or was dropped since.
  void SetScore(const SamplePlace& place, RunId run, std::string score);
  /// Makes a sample whose scoring failed wait to be scored again.
  void RequeueScoring(const SamplePlace& place);
  /// Returns the sample. Precondition: `IsFinished(place)`.
  const FinishedSample& SampleAt(const SamplePlace& place) const;

  /// Whether all samples of `group` are finished and scored.
  bool IsComplete(std::size_t group) const;
  /// Drops the finished samples of `group` that are too old to be delivered
  /// and, unless the group was delivered, makes them wait to be run again.
  /// Returns the number of tokens dropped.
  std::uint64_t DropStale(std::size_t group, const StalenessPolicy& policy,
                          WeightVersion newest, std::uint64_t bound);
  /// Returns the samples of `group` in order. Precondition:
  /// `IsComplete(group)`.
  std::vector<FinishedSample> SamplesOf(std::size_t group) const;

  /// Sets which groups have arrived according to the trainer's cursor. Groups
  /// that have arrived are not run. Groups that are no longer set as arrived,
  /// because the cursor is of an earlier batch, are run as far as they are not
  /// finished. Precondition: `delivered` has one element for each group.
  void SetDelivered(const std::vector<bool>& delivered);
  /// Whether `group` has arrived according to the trainer's cursor.
  bool IsDelivered(std::size_t group) const { return delivered_[group]; }
  /// Returns the number of samples that wait to be run and of runs in progress.
  std::size_t RemainingRuns() const { return pending_.size() + runs_; }

 private:
  /// State of one sample.
  struct Slot {
    /// Number of runs in progress.
    std::uint32_t runs = 0;
    /// Whether the sample is in `pending_`; then no run of it is in progress.
    bool is_pending = true;
    /// The sample of the run that finished first.
    std::optional<FinishedSample> finished;
  };

  Slot& SlotAt(const SamplePlace& place);
  const Slot& SlotAt(const SamplePlace& place) const;
  void MakePending(const SamplePlace& place, Slot& slot);
  /// Makes the samples of `group` that are neither finished nor running wait to
  /// be run.
  void RequeueGroup(std::uint32_t group);

  const StepLedgerSettings settings_;
  const StepSpec spec_;
  const std::uint64_t digest_;
  const TimePoint submitted_;
  /// All samples, ordered by group and index in the group.
  std::vector<Slot> slots_;
  /// Samples that wait to be run, in the order in which they will be.
  std::deque<SamplePlace> pending_;
  /// Finished samples that wait to be scored.
  std::deque<SamplePlace> unscored_;
  /// The number of samples of each group that are finished and, if the step
  /// names a scorer, scored.
  std::vector<std::uint32_t> ready_in_group_;
  /// Number of runs in progress.
  std::size_t runs_ = 0;
  /// Whether each group has arrived according to the trainer's cursor.
  std::vector<bool> delivered_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STEP_LEDGER_H_
