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
#include "briarspread/rollout/straggler_policy.h"
#include "briarspread/rollout/trainer_rollout.h"
#include "briarspread/rollout/trainer_share.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// Settings of `RolloutScheduler`.
struct RolloutSchedulerSettings {
  TrainerRolloutSettings trainer;
  TrainerShareSettings share;
  StragglerSettings stragglers;
  LeadSettings lead;
  /// Trainers known at once; bounds memory.
  std::size_t max_trainers = 64;
  /// How often runs are looked through for stragglers and stale work.
  milliseconds review_interval{500};
};

/// Gives trainers' rules. Implementations are safe to call from any thread.
class TrainerRules {
 public:
  virtual ~TrainerRules() = default;
  /// The trainer's share and bound, or the defaults.
  virtual TrainerRule RuleOf(const TrainerId& trainer) const = 0;
  /// The objective in force, in [0, 1]; empty leaves it to the settings.
  virtual std::optional<double> StalenessWeight() const { return std::nullopt; }
};

/// A free slot on the engines.
struct SlotOffer {
  /// Slots that trainers may hold now, over all engines; what live callers
  /// reserve is not among them.
  std::size_t slots = 0;
  /// The engine; empty where it is chosen later.
  UpstreamId upstream;
  /// Its weights; may be null.
  const ServedVersions* served = nullptr;
};

/// One sample to run now.
struct SampleRun {
  RunId id;
  /// On behalf of whom.
  TrainerId trainer;
  StepNumber step;
  GroupId group;
  SampleIndex sample;
  /// What to run.
  ModelName model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// Samples of an older version would not be delivered.
  WeightVersion oldest_allowed;
  /// Where another run of it goes on.
  std::vector<UpstreamId> avoid;
  /// Whether it is a straggler's second run.
  bool is_hedge = false;
};

/// How far a run is.
struct RunProgress {
  /// The engine, where known.
  UpstreamId upstream;
  /// Tokens generated.
  std::uint32_t tokens = 0;
  /// The oldest version among them; empty before the first token.
  std::optional<WeightVersion> oldest;
};

/// One sample to be scored by a plain service. The call is idempotent by `id`.
struct ScoringTask {
  /// Names this very text over all instances and calls.
  std::string id;
  ServiceName scorer;
  TrainerId trainer;
  StepNumber step;
  SamplePlace place;
  RunId run;
  std::string prompt;
  std::string text;
};

/// Decides which samples run next, which are run a second time or cut, and what
/// a trainer's pull gets. Holds the ledgers of all trainers that this instance
/// serves. Driven by events; not thread-safe.
class RolloutScheduler {
 public:
  /// Preconditions: `rules` and `clock` outlive this object; `cursor_key` is
  /// the same on all instances.
  RolloutScheduler(const RolloutSchedulerSettings& settings,
                   std::string_view cursor_key, const TrainerRules& rules,
                   const Clock& clock);

  /// Takes a step and returns its opening cursor; idempotent. `kConflict`
  /// where the step is known with another body, `kOverloaded` where too much
  /// is open, `kInvalidArgument` for a bad trainer name.
  Result<std::string> SubmitStep(const TrainerId& trainer, StepNumber step,
                                 const StepSpec& spec);
  /// The sample to run on the offered slot; nothing where none is to start now.
  std::optional<SampleRun> NextRun(const SlotOffer& offer);
  /// Notes how far a run is.
  void OnProgress(RunId run, const RunProgress& progress);
  /// Takes a finished run. Returns whether its group is now complete, so that
  /// waiting pulls have something to get.
  bool OnFinished(RunId run, FinishedSample sample);
  /// Notes that a run failed or was cancelled.
  void OnFailed(RunId run);
  /// The runs to cancel, each named once. They end by `OnFailed` or
  /// `OnFinished` as any other.
  std::vector<RunId> RunsToCancel();

  /// A sample to score; nothing where none waits.
  std::optional<ScoringTask> NextScoring();
  /// Takes a score. Returns whether its group is now complete.
  bool OnScored(const ScoringTask& task, std::string score);
  /// Puts the sample back in line.
  void OnScoringFailed(const ScoringTask& task);

  /// What `cursor` asks for, judged by the trainer's `newest` version. Errors:
  /// `kInvalidArgument` for a forged, cut or foreign cursor, `kNotFound` where
  /// the step is to be posted again, `kConflict` where its body is another.
  Result<Batch> NextBatch(const TrainerId& trainer, std::string_view cursor,
                          WeightVersion newest);
  /// The text of a cursor, as in a batch's reply.
  std::string Format(const Cursor& cursor) const {
    return codec_.Encode(cursor);
  }

  /// Runs that go on.
  std::size_t RunningCount() const { return runs_.size(); }
  /// The trainers known, in order.
  std::vector<TrainerId> Trainers() const;
  /// The trainer's counts, or null where it is not known.
  const TrainerStats* StatsOf(const TrainerId& trainer) const;

 private:
  /// One trainer and its claims on slots.
  struct TrainerEntry {
    TrainerRollout rollout;
    std::size_t running = 0;
    TimePoint last_served{};
  };
  /// One run that goes on.
  struct Run {
    TrainerId trainer;
    StepNumber step;
    SamplePlace place;
    TimePoint started;
    RunProgress progress;
    bool is_hedge = false;
    /// Whether it has a second run.
    bool is_hedged = false;
    bool is_cancelled = false;
  };

  std::uint64_t RuleBound(const TrainerId& trainer) const;
  double TotalWeight() const;
  /// Looks through all runs, once in each interval.
  void Review();
  void NoteServed(const SlotOffer& offer);
  bool IsToBeCut(Run& run);
  void Cancel(RunId id, Run& run);
  void CancelOthers(const Run& finished);
  std::optional<SampleRun> StartHedge(const SlotOffer& offer);
  std::optional<SampleRun> StartPending(const SlotOffer& offer);
  /// The demands that are to be worked on now, in the order of need.
  std::vector<StepDemand> DueDemands(std::size_t slots) const;
  SampleRun AddRun(TrainerEntry& entry, const Run& run);
  void Forget(std::map<RunId, Run>::iterator it);

  const RolloutSchedulerSettings settings_;
  const CursorCodec codec_;
  const TrainerRules& rules_;
  const Clock& clock_;
  const TrainerShare share_;
  const StragglerPolicy stragglers_;
  const LeadPolicy lead_;
  std::map<TrainerId, TrainerEntry> trainers_;
  std::map<RunId, Run> runs_;
  std::uint64_t last_run_ = 0;
  /// Stragglers as of the last review, the slowest first.
  std::vector<RunId> slow_runs_;
  std::vector<RunId> to_cancel_;
  TimePoint next_review_{};
  TimePoint next_served_check_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_ROLLOUT_SCHEDULER_H_
