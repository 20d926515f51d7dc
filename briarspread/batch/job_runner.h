#ifndef BRIARSPREAD_BATCH_JOB_RUNNER_H_
#define BRIARSPREAD_BATCH_JOB_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/batch/batch_metrics.h"
#include "briarspread/batch/carry_cache.h"
#include "briarspread/batch/engine_load_board.h"
#include "briarspread/batch/engine_placement.h"
#include "briarspread/batch/item_run.h"
#include "briarspread/batch/job_checkpoint.h"
#include "briarspread/batch/job_handover.h"
#include "briarspread/batch/job_ledger.h"
#include "briarspread/batch/job_store.h"
#include "briarspread/batch/reward_run.h"
#include "briarspread/fleet/instance_record.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/forward/forward_context.h"

namespace briarspread::batch {

/// Settings of the jobs that an instance runs.
struct JobRunnerSettings {
  /// Results that became final within this time are listed together.
  milliseconds listing_pause{60};
  /// The longest that a result waits for the rest of its group.
  milliseconds longest_listing_wait{1500};
  /// The pause before a failed write to the store is tried again.
  milliseconds store_retry{250};
  /// A stream without an event for so long is taken for dead, unless its
  /// engine is known to be slow.
  milliseconds silence{2200};
  /// How often runs are reviewed.
  milliseconds review_interval{200};
  /// The pause before a reward call is made again.
  milliseconds reward_retry{150};
  /// Reward calls at once; live callers share their service.
  std::size_t max_rewards = 16;
  /// How long an accept without an answer is tried again for its caller.
  milliseconds accept_patience{2500};
  /// How long a job stays readable after it was submitted.
  milliseconds status_time{120000};
  /// Text of ended jobs kept for later ones.
  std::size_t carry_bytes = std::size_t{8} * 1024 * 1024;
  /// Text of an item is kept in the store once it has so many events, and then
  /// in steps of as many.
  std::uint64_t checkpoint_events = 24;
  /// Kept with results, or alone where none were written for so long.
  milliseconds checkpoint_interval{1200};
  /// The shortest time between two moves of an item.
  milliseconds least_stay{800};
  /// What a peer said of its loads counts for so long.
  milliseconds load_time_to_live{2000};
  EnginePlacementSettings placement;
};

/// Runs the jobs that this instance owns: places items on engines, follows
/// their streams, has texts scored, and lists results once the store has them.
/// Loop's thread only.
class JobRunner final : public ItemRunListener {
 public:
  template <typename T>
  using Done = AsyncStore::Done<T>;

  /// Hears which jobs are this instance's.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// The record of a job as it is now, own or another's.
    virtual void OnJobRecord(const StoredRecord& stored) = 0;
    /// The job is gone from the store.
    virtual void OnJobDeleted(const JobId& id) = 0;
  };

  /// Precondition: references outlive this object.
  JobRunner(forward::ForwardContext& context, JobStore& store,
            const JobRunnerSettings& settings, const InstanceRecord& self,
            Listener& listener);
  ~JobRunner() override;

  /// Begins to review runs.
  void Start();

  /// Accepts a job, or learns that it is known already; `done` is called once
  /// the store has it. An error of `kNotRun` says that no part of it runs.
  void Accept(JobSpec spec, const std::string& home_key,
              Done<std::monostate> done);
  /// Takes a job over from an owner that is gone or hands it over. `handover`
  /// is what that owner had of it; may be empty.
  void Adopt(const StoredRecord& stored, const JobHandover& handover,
             Done<std::monostate> done);
  bool Owns(const JobId& id) const { return jobs_.contains(id); }

  /// Results from a position on; waits up to `wait` for one. Precondition:
  /// `Owns(id)`, as for all below.
  void Read(const JobId& id, std::uint64_t after, milliseconds wait,
            Done<ResultPage> done);
  /// An item's body; `kNotFound` for an item of another job.
  Result<std::string> ReadBody(const JobId& id, const ItemId& item) const;
  /// Ends the job; `done` once the store knows.
  void End(const JobId& id, Done<std::monostate> done);

  /// Own jobs that still have work.
  std::vector<JobId> OpenJobs() const;
  /// How long ago the oldest of them was taken; zero where there is none.
  Duration OldestOpenJob() const;
  /// Stops work on an own job and gives what a new owner can use.
  JobHandover PrepareHandover(const JobId& id);
  /// The record of an own job.
  StoredRecord RecordOf(const JobId& id) const;
  /// Goes on after a handover that failed. A taker may still have it from the
  /// store, so the record is written anew first: a later takeover by it fails,
  /// and after an earlier one the job is left to it.
  void Reclaim(const JobId& id);
  /// The job is another's now.
  void Forget(const JobId& id);

  /// What other instances run at the engines.
  EngineLoadBoard& load_board() { return load_board_; }

  const BatchMetrics& metrics() const { return metrics_; }
  /// Items that wait and run, over all own jobs.
  std::size_t waiting_count() const;
  std::size_t running_count() const { return runs_.size(); }

  bool OnRunEvent(ItemRun& run, const proxy::StreamEvent& event,
                  WeightVersion version) override;
  void OnRunEnded(ItemRun& run, RunOutcome outcome) override;

 private:
  /// One item of one job.
  using ItemKey = std::pair<JobId, std::size_t>;

  /// A read that waits for a result.
  struct Waiter {
    std::uint64_t after = 0;
    TimePoint deadline{};
    Done<ResultPage> done;
  };

  /// A job that this instance runs.
  struct OwnedJob {
    OwnedJob(asio::io_context& loop, JobSpec spec, const JobTerms& terms,
             std::uint64_t checkpoint_events, TimePoint now)
        : ledger(std::move(spec), terms, now),
          checkpoint_plan(checkpoint_events),
          last_write(now),
          listing_timer(loop) {}

    JobLedger ledger;
    JobRecord record;
    /// The record's index, under which results are written.
    StoreIndex index;
    /// The chunk being written; written again unchanged until its fate is
    /// known.
    JobChunk chunk;
    CheckpointPlan checkpoint_plan;
    std::uint64_t next_checkpoint = 0;
    TimePoint last_write{};
    bool is_writing = false;
    /// Asked to end; the store does not know yet.
    bool is_ending = false;
    /// Being handed over; nothing runs.
    bool is_paused = false;
    TimePoint delete_after{};
    /// When this instance took it.
    TimePoint taken{};
    /// Whether the groups that its trainer waits for are listed.
    bool is_satisfied = false;
    std::vector<Done<std::monostate>> end_waiters;
    std::vector<Waiter> readers;
    LoopTimer listing_timer;
    /// Engines that an item is to avoid, by item.
    std::map<std::size_t, std::vector<UpstreamId>> avoid;
    /// How often an item's run was ended for its silence, by item.
    std::map<std::size_t, std::size_t> silent_cuts;
    /// Where a group's prompt was read last.
    std::map<ItemGroup, UpstreamId> prompt_at;
  };

  /// A job being accepted.
  struct Acceptance {
    explicit Acceptance(asio::io_context& loop) : retry_timer(loop) {}

    JobSpec spec;
    JobRecord record;
    TimePoint give_up{};
    std::vector<Done<std::monostate>> waiters;
    LoopTimer retry_timer;
  };

  /// The engines of one service, as a model's items see them.
  using EngineViews = std::vector<EngineView>;

  void TryAccept(const JobId& id);
  void FinishAccept(const JobId& id, const Result<std::monostate>& result);
  OwnedJob& AddJob(const StoredRecord& stored, const JobSpec& spec);
  void LoadAdopted(const StoredRecord& stored, const JobHandover& handover,
                   const Done<std::monostate>& done);
  JobTerms TermsOf(const JobSpec& spec, const JobRecord& record) const;

  void SchedulePump();
  void Pump();
  bool PlaceItem(OwnedJob& job, std::size_t i);
  /// Whether the item has crashed too many engines to be run once more.
  bool MustHold(const OwnedJob& job, std::size_t i) const;
  EngineViews ViewsOf(const ServiceName& service, const ModelName& model) const;
  /// Tokens of memory that own items take at each engine; a guess.
  std::map<UpstreamId, std::int64_t> OwnTokens() const;
  EngineNeed NeedOf(const OwnedJob& job, std::size_t i) const;
  const forward::Route* RouteOf(const OwnedJob& job, std::size_t i) const;
  ItemRunSpec MakeRunSpec(const OwnedJob& job, std::size_t i,
                          const UpstreamId& engine) const;

  void Resume(const JobId& id);
  void ExpireItems(const JobId& id, OwnedJob& job, TimePoint now);

  void NoteRunEnded(const ItemRun& run, RunOutcome outcome, TimePoint now);
  void NoteGivenUp(const OwnedJob& job, std::size_t i,
                   const std::string& reason);

  void StartReward(const JobId& id, std::size_t i);
  void OnRewardDone(const JobId& id, std::size_t i,
                    const RewardOutcome& outcome);
  void StartWaitingRewards();

  void ScheduleListing(const JobId& id, Duration delay);
  void WriteNext(const JobId& id);
  /// What is to be written now; empty for nothing.
  JobChunk NextChunk(const OwnedJob& job) const;
  void WriteEnd(const JobId& id);
  /// The job whose write has ended, or null where it is gone or the write is
  /// to be made again.
  OwnedJob* FinishWrite(const JobId& id, const std::string& what,
                        const Result<RecordOutcome>& outcome);
  void OnChunkWritten(const JobId& id, const Result<RecordOutcome>& outcome);
  /// Counts results that were listed, and the groups that they complete.
  void NoteListed(const OwnedJob& job, const std::vector<ItemResult>& results);
  void NoteTrainerWait(OwnedJob& job);
  WeightVersion NewestVersion(const ModelName& model) const;
  void OnEndWritten(const JobId& id, const Result<RecordOutcome>& outcome);
  void TakeLoss(const JobId& id, const RecordChanged& changed);
  void ServeReaders(OwnedJob& job);
  void StopWork(const JobId& id, OwnedJob& job);

  void Review();
  void ReviewRuns(TimePoint now);
  void MoveRun(const ItemKey& key);
  void ReviewJob(const JobId& id, OwnedJob& job, TimePoint now);
  bool IsSilent(const ItemRun& run, TimePoint now) const;
  bool MustMove(const ItemRun& run, TimePoint now) const;

  forward::ForwardContext& context_;
  JobStore& store_;
  const JobRunnerSettings settings_;
  const InstanceRecord& self_;
  Listener& listener_;
  const EnginePlacement placement_;
  LoopTimer review_timer_;
  LoopTimer pump_timer_;
  CarryCache carry_;
  EngineLoadBoard load_board_;
  std::map<JobId, OwnedJob> jobs_;
  std::map<JobId, Acceptance> acceptances_;
  std::map<ItemKey, std::unique_ptr<ItemRun>> runs_;
  std::map<ItemKey, std::unique_ptr<RewardRun>> rewards_;
  /// Reward calls to be made, and not before when.
  std::map<ItemKey, TimePoint> waiting_rewards_;
  BatchMetrics metrics_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_RUNNER_H_
