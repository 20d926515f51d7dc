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
  /// Whether a sample is refused unless each token names its version. Off only
  /// in tests that show what the check prevents.
  bool requires_versions = true;
};

/// What became of a finished run's sample.
enum class FinishOutcome {
  /// It is the sample.
  kTaken,
  /// Another run finished first; this one is dropped.
  kDuplicate,
  /// Its versions are not known; it is to be run again.
  kUnlabelled,
};

/// The samples of one step as this instance has them. It keeps no record of
/// deliveries: that is the trainer's cursor alone, so two instances may both
/// run a step and finish a group with different samples. Groups stay until the
/// step is dropped, for cursors whose reply was lost. Not thread-safe.
class StepLedger {
 public:
  StepLedger(const StepLedgerSettings& settings, StepSpec spec,
             TimePoint submitted);

  const StepSpec& spec() const { return spec_; }
  std::uint64_t digest() const { return digest_; }
  TimePoint submitted() const { return submitted_; }

  /// Whether some sample waits to be run.
  bool HasPending() const { return !pending_.empty(); }
  /// The next sample to run, now counted as running; nothing where none waits.
  std::optional<SamplePlace> StartNext();
  /// Counts a further run of a sample that runs. Precondition: it runs.
  void StartAgain(const SamplePlace& place);
  /// Takes a finished run.
  FinishOutcome Finish(const SamplePlace& place, FinishedSample sample);
  /// Ends a run without a sample. Returns whether the sample now waits to be
  /// run again, which it does not while another run of it goes on.
  bool Fail(const SamplePlace& place);
  /// Whether the sample has a finished run.
  bool IsFinished(const SamplePlace& place) const;

  /// A finished sample that waits for its score, now counted as being scored.
  std::optional<SamplePlace> StartScoring();
  /// Takes the score of the sample that `run` finished; ignored where it has
  /// one or was dropped since.
  void Score(const SamplePlace& place, RunId run, std::string score);
  /// Puts a sample back whose scoring failed.
  void FailScoring(const SamplePlace& place);
  /// The sample. Precondition: `IsFinished(place)`.
  const FinishedSample& SampleAt(const SamplePlace& place) const;

  /// Whether all samples of `group` are finished and scored.
  bool IsComplete(std::size_t group) const;
  /// Drops the finished samples of `group` that may not be delivered; they wait
  /// to be run again. Returns the tokens dropped.
  std::uint64_t DropStale(std::size_t group, const StalenessPolicy& policy,
                          WeightVersion newest, std::uint64_t bound);
  /// The samples of `group`, in order. Precondition: `IsComplete(group)`.
  std::vector<FinishedSample> SamplesOf(std::size_t group) const;

  /// Takes over what the trainer's cursor says arrived. Groups that arrived
  /// are not run; groups that a cursor of an earlier batch lacks are run again
  /// where need be. Precondition: one bit for each group.
  void NoteDelivered(const std::vector<bool>& delivered);
  /// Whether the trainer's cursor says that `group` arrived.
  bool IsDelivered(std::size_t group) const { return delivered_[group]; }
  /// Runs to come and runs that go on.
  std::size_t RemainingRuns() const { return pending_.size() + runs_; }

 private:
  /// One sample's state.
  struct Slot {
    /// Runs that go on.
    std::uint32_t runs = 0;
    /// Whether it stands in `pending_`; then no run of it goes on.
    bool is_pending = true;
    /// The first finished run.
    std::optional<FinishedSample> finished;
  };

  Slot& SlotAt(const SamplePlace& place);
  const Slot& SlotAt(const SamplePlace& place) const;
  void MakePending(const SamplePlace& place, Slot& slot);
  /// Puts samples of `group` that nobody runs back in line.
  void ReviveGroup(std::uint32_t group);

  const StepLedgerSettings settings_;
  const StepSpec spec_;
  const std::uint64_t digest_;
  const TimePoint submitted_;
  /// All samples, group after group.
  std::vector<Slot> slots_;
  /// Samples that wait to be run, first to be run first.
  std::deque<SamplePlace> pending_;
  /// Finished samples that wait to be scored.
  std::deque<SamplePlace> unscored_;
  /// Samples of each group that are finished and scored.
  std::vector<std::uint32_t> ready_in_group_;
  /// Runs that go on.
  std::size_t runs_ = 0;
  /// What the trainer's cursor says arrived.
  std::vector<bool> delivered_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STEP_LEDGER_H_
