#ifndef BRIARSPREAD_ROLLOUT_ROLLOUT_SCHEDULER_H_
#define BRIARSPREAD_ROLLOUT_ROLLOUT_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/rollout/cursor.h"
#include "briarspread/rollout/lead_policy.h"
#include "briarspread/rollout/sample.h"
#include "briarspread/rollout/share_policy.h"
#include "briarspread/rollout/straggler_policy.h"
#include "briarspread/rollout/trainer_rollout.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// Settings of `RolloutScheduler`.
struct RolloutSchedulerSettings {
  TrainerRolloutSettings trainer;
  SharePolicySettings share;
  StragglerSettings stragglers;
  LeadSettings lead;
  /// Maximum number of trainers; limits memory.
  std::size_t max_trainers = 64;
  /// Interval at which runs are checked for stragglers and stale work, and the
  /// versions served by engines are checked.
  milliseconds review_interval{500};
};

/// Provides the rules of trainers. Implementations are thread-safe.
class TrainerRules {
 public:
  virtual ~TrainerRules() = default;
  /// Returns the trainer's weight and staleness bound, or the defaults.
  virtual TrainerRule RuleOf(const TrainerId& trainer) const = 0;
  /// Returns the value in force for `LeadSettings::staleness_weight`, in [0,
  /// 1]; nothing for the value of the settings.
  virtual std::optional<double> StalenessWeight() const { return std::nullopt; }
};

/// A free slot on the engines.
struct SlotOffer {
  /// Number of slots of all engines that trainers may use now, without those
  /// reserved for live callers.
  std::size_t slots = 0;
  /// The engine; empty if it is chosen later.
  UpstreamId upstream;
  /// The versions served by the engine; null if they are not known.
  const ServedVersions* served = nullptr;
};

/// One sample to run now.
struct SampleRun {
  RunId id;
  /// The trainer that the sample is for.
  TrainerId trainer;
  StepNumber step;
  GroupId group;
  SampleIndex sample;
  /// The model to sample with.
  ModelName model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// The oldest version with which the sample could be delivered now.
  WeightVersion oldest_allowed;
  /// Engines to avoid because another run of the sample is in progress there.
  std::vector<UpstreamId> avoided_upstreams;
  /// Whether this is the hedge of a straggler.
  bool is_hedge = false;
};

/// Progress of a run.
struct RunProgress {
  /// The engine; empty if it is not known.
  UpstreamId upstream;
  /// Number of tokens generated so far.
  std::uint32_t tokens = 0;
  /// The oldest version among their versions; nothing before the first token.
  std::optional<WeightVersion> oldest;
};

/// One sample to be scored by a service. The scoring call is idempotent by
/// `id`.
struct ScoringTask {
  /// Identifies the sample with this text; the same on all instances and for
  /// all calls.
  std::string id;
  ServiceName scorer;
  TrainerId trainer;
  StepNumber step;
  SamplePlace place;
  RunId run;
  std::string prompt;
  std::string text;
};

/// Decides which samples are run next, which runs are hedged or cancelled, and
/// which groups a trainer's pull returns. Holds the ledgers of all trainers
/// that this instance serves. Driven by events; not thread-safe.
class RolloutScheduler {
 public:
  /// Preconditions: `rules` and `clock` outlive this object; `cursor_key` is
  /// the same on all instances.
  RolloutScheduler(const RolloutSchedulerSettings& settings,
                   std::string_view cursor_key, const TrainerRules& rules,
                   const Clock& clock);

  /// Adds a step and returns the text of its opening cursor. Idempotent.
  /// Returns `kConflict` if the step is known with a different body,
  /// `kOverloaded` if there are too many trainers or open steps, and
  /// `kInvalidArgument` for an empty or too long trainer name.
  Result<std::string> SubmitStep(const TrainerId& trainer, StepNumber step,
                                 const StepSpec& spec);
  /// Returns the sample to run on the offered slot; nothing if none should
  /// start now.
  std::optional<SampleRun> NextRun(const SlotOffer& offer);
  /// Records the progress of a run.
  void OnProgress(RunId run, const RunProgress& progress);
  /// Records a finished run. Returns whether its group is now complete, so that
  /// waiting pulls can be answered.
  bool OnFinished(RunId run, FinishedSample sample);
  /// Records that a run failed or was cancelled.
  void OnFailed(RunId run);
  /// Returns the runs to cancel; each run is returned once. Their end must be
  /// reported by `OnFailed` or `OnFinished`, as that of any run.
  std::vector<RunId> RunsToCancel();

  /// Returns a sample to score; nothing if none waits.
  std::optional<ScoringTask> NextScoring();
  /// Records a score. Returns whether the sample's group is now complete.
  bool OnScored(const ScoringTask& task, std::string score);
  /// Makes the sample wait to be scored again.
  void OnScoringFailed(const ScoringTask& task);

  /// Returns the next batch after `cursor`, of samples that are fresh enough
  /// for the trainer's `newest` version. Errors: `kInvalidArgument` if the
  /// cursor is malformed, forged or of another trainer; `kNotFound` if the step
  /// is unknown and must be submitted again; `kConflict` if it has a different
  /// body.
  Result<Batch> NextBatch(const TrainerId& trainer, std::string_view cursor,
                          WeightVersion newest);
  /// Returns the text of a cursor, as sent in the reply to a pull.
  std::string FormatCursor(const Cursor& cursor) const {
    return codec_.Encode(cursor);
  }

  /// The number of runs in progress.
  std::size_t RunningCount() const { return runs_.size(); }
  /// Returns the known trainers in ascending order of ids.
  std::vector<TrainerId> Trainers() const;
  /// Returns the trainer's statistics, or null if the trainer is unknown.
  const TrainerStats* StatsOf(const TrainerId& trainer) const;

 private:
  /// One trainer and its use of slots.
  struct TrainerEntry {
    TrainerRollout rollout;
    /// Number of runs in progress.
    std::size_t running = 0;
    /// When a run of a waiting sample was last started.
    TimePoint last_served{};
  };
  /// One run in progress.
  struct Run {
    TrainerId trainer;
    StepNumber step;
    SamplePlace place;
    TimePoint started;
    RunProgress progress;
    bool is_hedge = false;
    /// Whether a hedge was started for this run.
    bool is_hedged = false;
    bool is_cancelled = false;
  };

  /// Returns the staleness bound of the trainer's rule; the highest value if
  /// the rule sets none.
  std::uint64_t RuleBoundOf(const TrainerId& trainer) const;
  double TotalWeight() const;
  /// Checks all runs for stragglers and for runs to cancel, at most once per
  /// `review_interval`.
  void ReviewRuns();
  /// Passes the versions served by the offered engine to all trainers, at most
  /// once per `review_interval`.
  void UpdateServedVersions(const SlotOffer& offer);
  /// Whether the run's sample is no longer needed or expected to be too old.
  bool ShouldCancel(Run& run);
  void Cancel(RunId id, Run& run);
  /// Cancels the other runs of the sample that `finished` has provided.
  void CancelOthers(const Run& finished);
  /// Starts a hedge of a straggler if one is due.
  std::optional<SampleRun> StartHedge(const SlotOffer& offer);
  /// Starts a run of a waiting sample if one is due.
  std::optional<SampleRun> StartPending(const SlotOffer& offer);
  /// Returns the demands whose work should start now, in ascending order of the
  /// time until they are needed.
  std::vector<StepDemand> DueDemands(std::size_t slots) const;
  SampleRun AddRun(TrainerEntry& entry, const Run& run);
  void RemoveRun(std::map<RunId, Run>::iterator it);

  const RolloutSchedulerSettings settings_;
  const CursorCodec codec_;
  const TrainerRules& rules_;
  const Clock& clock_;
  const SharePolicy share_;
  const StragglerPolicy stragglers_;
  const LeadPolicy lead_;
  std::map<TrainerId, TrainerEntry> trainers_;
  std::map<RunId, Run> runs_;
  std::uint64_t last_run_ = 0;
  /// Stragglers found by the last review that can be hedged, oldest run first.
  std::vector<RunId> slow_runs_;
  std::vector<RunId> runs_to_cancel_;
  TimePoint next_review_{};
  TimePoint next_served_check_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_ROLLOUT_SCHEDULER_H_
