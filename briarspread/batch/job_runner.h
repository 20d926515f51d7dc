#ifndef BRIARSPREAD_BATCH_JOB_RUNNER_H_
#define BRIARSPREAD_BATCH_JOB_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarspread/batch/batch_metrics.h"
#include "briarspread/batch/engine_placement.h"
#include "briarspread/batch/engine_view_cache.h"
#include "briarspread/batch/item_progress_cache.h"
#include "briarspread/batch/item_run.h"
#include "briarspread/batch/job_checkpoint.h"
#include "briarspread/batch/job_handover.h"
#include "briarspread/batch/job_ledger.h"
#include "briarspread/batch/job_store.h"
#include "briarspread/batch/peer_engine_loads.h"
#include "briarspread/batch/placement_pauses.h"
#include "briarspread/batch/reward_run.h"
#include "briarspread/fleet/instance_record.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/forward/forward_context.h"

namespace briarspread::batch {

/// Settings of `JobRunner`.
struct JobRunnerSettings {
  /// Delay before final results are written to the store; results that become
  /// final within it are listed together.
  milliseconds listing_delay{60};
  /// Maximum time that a final result waits for the rest of its group before it
  /// is listed without them.
  milliseconds max_listing_wait{1500};
  /// Delay before a failed write to the store is retried.
  milliseconds store_retry_delay{250};
  /// Minimum time without a complete event after which a stream counts as
  /// stalled. Longer for engines that are known to be slow.
  milliseconds min_stall_timeout{2200};
  /// Interval between reviews of the runs and jobs.
  milliseconds review_interval{200};
  /// Delay before a failed reward call is retried.
  milliseconds reward_retry_delay{150};
  /// Maximum number of concurrent reward calls. Live callers use the same
  /// reward service.
  std::size_t max_concurrent_rewards = 16;
  /// Time during which an accept with an unknown outcome is retried before its
  /// caller gets an error.
  milliseconds accept_retry_timeout{2500};
  /// Time that a job stays readable after it ended. Also the due time and the
  /// item time to live of jobs whose route sets none.
  milliseconds status_time{120000};
  /// Maximum size of the cached text of unfinished items of ended jobs, which
  /// later jobs can resume.
  std::size_t progress_cache_bytes = std::size_t{8} * 1024 * 1024;
  /// Number of new events after which the text of an item is included in a
  /// checkpoint.
  std::uint64_t events_per_checkpoint = 24;
  /// Checkpoints are written together with results, or on their own if nothing
  /// was written for this time.
  milliseconds checkpoint_interval{1200};
  /// Minimum time that an item runs on an engine before it may be moved because
  /// the engine is slow.
  milliseconds min_run_time{800};
  /// Time after which a load report of another instance expires.
  milliseconds load_time_to_live{2000};
  /// Time that an item waits for an engine on which its text may go on, before
  /// it begins again on any engine: `resume_wait_per_event` for each event of
  /// the text, which would be generated again, within these bounds.
  milliseconds resume_wait_per_event{20};
  milliseconds min_resume_wait{1000};
  milliseconds max_resume_wait{3000};
  /// Age of the last confirmation of a job's record after which the record is
  /// read again before items of the job start. With the time that a run takes
  /// to connect, no item starts 3 s after another instance ended the job.
  milliseconds max_record_age{1500};
  EnginePlacementSettings placement;
};

/// Runs the jobs that this instance owns: places items on engines, reads their
/// streams, sends reward calls for finished texts, and writes the results to
/// the store. A result is listed once the store holds it. Loop's thread only.
class JobRunner final : public ItemRunListener {
 public:
  template <typename T>
  using Done = AsyncStore::Done<T>;

  /// Receives changes to the records of jobs. Called on the loop's thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// Called with the current record of a job, whichever instance owns it.
    virtual void OnJobRecord(const StoredRecord& stored) = 0;
    /// Called when the job no longer exists in the store.
    virtual void OnJobDeleted(const JobId& id) = 0;
    /// Called when a write that names this instance as the job's owner may have
    /// taken effect, or may still do so, although it has failed.
    virtual void OnOwnershipUnknown(const JobId& id) = 0;
  };

  /// Precondition: references outlive this object.
  JobRunner(forward::ForwardContext& context, JobStore& store,
            const JobRunnerSettings& settings, const InstanceRecord& self,
            Listener& listener);
  ~JobRunner() override;

  /// Starts the periodic reviews of runs and jobs.
  void Start();

  /// Version of the configuration in force; zero before the first.
  forward::ConfigurationVersion configuration_version() const {
    return context_.configuration.version();
  }

  /// Accepts a job; succeeds as well if the store already knows it. `done` is
  /// called once the store holds the job. An error with the verdict `kNotRun`
  /// means that no part of the job runs. Fails so at once if this instance has
  /// not read the configuration that the job needs, as `Adopt` does.
  void Accept(JobSpec spec, const std::string& home_key,
              Done<std::monostate> done);
  /// Takes ownership of a job whose owner is unreachable or hands it over.
  /// `handover` holds the progress that this owner passed on; may be empty.
  void Adopt(const StoredRecord& stored, const JobHandover& handover,
             Done<std::monostate> done);
  /// Loads a job with all that the store has of it. The only way by which a job
  /// becomes owned that was not accepted just now. Precondition: the record
  /// names this start of the instance as the owner.
  void Load(const StoredRecord& stored, const JobHandover& handover,
            const Done<std::monostate>& done);
  bool Owns(const JobId& id) const { return jobs_.contains(id); }
  /// Whether the record names this start of the instance as the owner.
  bool IsOwn(const JobRecord& record) const;
  /// Gives an own job up if this record of it, read or announced just now,
  /// shows that another instance has replaced this one as the owner or ended
  /// the job. No effect on jobs that are not owned.
  void OnRecordSeen(const StoredRecord& stored);
  /// Whether the job is being loaded.
  bool IsLoading(const JobId& id) const { return loading_.contains(id); }

  /// Returns results from position `after` on; if there are none, waits up to
  /// `wait` for one. Precondition: `Owns(id)`, as for all functions below that
  /// take a job id, except `Reclaim` and `DropJob`.
  void Read(const JobId& id, std::uint64_t after, milliseconds wait,
            Done<ResultPage> done);
  /// Returns the request body of an item; `kNotFound` if the item does not
  /// belong to the job.
  Result<std::string> ReadBody(const JobId& id, const ItemId& item) const;
  /// Ends the job: stops its items, and calls `done` once the store holds the
  /// end.
  void End(const JobId& id, Done<std::monostate> done);

  /// Returns the own jobs that are neither ended nor completely listed.
  std::vector<JobId> OpenJobs() const;
  /// Returns how long this instance has owned the oldest of the open jobs; zero
  /// if there is none.
  Duration OldestOpenJob() const;
  /// Stops work on an own job and returns the progress that a new owner can
  /// resume.
  JobHandover PrepareHandover(const JobId& id);
  /// Returns the record of an own job.
  StoredRecord RecordOf(const JobId& id) const;
  /// Resumes a job after its handover failed. The new owner may still have
  /// taken the job over through the store. The record is therefore rewritten
  /// first: this makes a later takeover fail, and if a takeover happened
  /// before, the job is left to the new owner. No effect on jobs that are not
  /// owned.
  void Reclaim(const JobId& id);
  /// Drops a job that another instance owns now and fails its pending reads and
  /// ends. No effect on jobs that are not owned.
  void DropJob(const JobId& id);

  /// Load of the other instances on the engines.
  PeerEngineLoads& peer_loads() { return peer_loads_; }

  const BatchMetrics& metrics() const { return metrics_; }
  /// Number of waiting and of running items of all own jobs.
  std::size_t waiting_count() const;
  std::size_t running_count() const { return runs_.size(); }

  bool OnRunEvent(ItemRun& run, const proxy::StreamEvent& event,
                  WeightVersion version) override;
  void OnRunEnded(ItemRun& run, RunOutcome outcome) override;

 private:
  /// Identifies an item by its job and its position in the job.
  using ItemKey = std::pair<JobId, std::size_t>;

  /// A read that waits for a result.
  struct PendingRead {
    std::uint64_t after = 0;
    TimePoint deadline{};
    Done<ResultPage> done;
  };

  /// When a job's times begin, on this instance's steady clock.
  struct JobTimes {
    /// When the job was submitted, by the clocks of the instance that accepted
    /// it and of this one, which may differ.
    TimePoint submitted{};
    /// When this instance became the owner.
    TimePoint owned_since{};
  };

  /// State of a job that this instance runs.
  struct OwnedJob {
    OwnedJob(asio::io_context& loop, JobSpec spec, const JobLimits& limits,
             std::uint64_t events_per_checkpoint, TimePoint now)
        : ledger(std::move(spec), limits, now),
          checkpoint_plan(events_per_checkpoint),
          last_write(now),
          listing_timer(loop) {}

    JobLedger ledger;
    /// Differs each time that a job becomes owned here, so that answers to
    /// writes of an earlier time are recognized.
    std::uint64_t epoch = 0;
    JobRecord record;
    /// Index of the record in the store; results are written only while the
    /// record has this index.
    StoreIndex index;
    /// The chunk that is being written. Retried unchanged until the outcome of
    /// the write is known.
    JobChunk chunk;
    CheckpointPlan checkpoint_plan;
    std::uint64_t next_checkpoint = 0;
    TimePoint last_write{};
    bool is_writing = false;
    /// Whether the job was asked to end and the store does not hold the end
    /// yet.
    bool is_ending = false;
    /// Whether the job is being handed over; none of its items run then.
    bool is_paused = false;
    TimePoint delete_after{};
    /// When the store last showed that this instance owns the open job: the
    /// time at which the confirming call was sent.
    TimePoint record_confirmed{};
    /// When the record was last read to confirm it.
    TimePoint confirmation_sent{};
    bool is_confirming = false;
    /// Whether the last call about the job failed. Items start without a
    /// confirmation then, since an outage of the store must not stop them.
    bool is_store_failing = false;
    JobTimes times;
    /// Whether the number of groups that the trainer waits for is listed.
    bool is_target_reached = false;
    std::vector<Done<std::monostate>> end_callbacks;
    std::vector<PendingRead> pending_reads;
    LoopTimer listing_timer;
    /// Engines that an item must avoid, by item.
    std::map<std::size_t, std::vector<UpstreamId>> avoided_engines;
    PlacementPauses placement_pauses{PlacementPausesSettings{}};
    /// How many runs of an item were ended because they stalled, by item.
    std::map<std::size_t, std::size_t> stalled_run_counts;
    /// The engine that last read the prompt of a group, by group.
    std::map<ItemGroup, UpstreamId> prompt_engines;
  };

  /// A job whose acceptance is in progress.
  struct PendingAccept {
    explicit PendingAccept(asio::io_context& loop) : retry_timer(loop) {}

    JobSpec spec;
    JobRecord record;
    /// When the last attempt was sent.
    TimePoint sent{};
    TimePoint retry_deadline{};
    /// Whether an attempt may have taken effect, or may still do so.
    bool may_have_run = false;
    std::vector<Done<std::monostate>> callbacks;
    LoopTimer retry_timer;
  };

  /// State of the engines of one service with respect to one model.
  using EngineViews = EngineViewCache::EngineViews;

  void TryAccept(const JobId& id);
  /// Retries an attempt while an earlier one may have taken effect; otherwise
  /// ends the accept.
  void OnAcceptFailed(const JobId& id, PendingAccept& acceptance, Error error);
  void FinishAccept(const JobId& id, const Result<std::monostate>& result);
  /// `confirmed` is the time at which the call was sent that gave the record.
  OwnedJob& AddJob(const StoredRecord& stored, const JobSpec& spec,
                   TimePoint confirmed);
  /// Returns an error if this instance has not read the configuration that a
  /// job needs, so that it knows nothing of the job's route.
  Status CheckConfiguration(const JobId& id,
                            forward::ConfigurationVersion needed) const;
  /// Returns the limits of a job: those of its route or, without one, limits
  /// under which items may be given up.
  JobLimits LimitsOf(const JobSpec& spec, const JobTimes& times) const;
  /// Updates the limits of all jobs after the configuration has changed. A job
  /// whose route is gone keeps its limits.
  void UpdateLimits();

  void SchedulePlacement();
  void PlaceWaitingItems();
  /// Starts a run of the item. Returns false if none was started: the item does
  /// not wait, no engine has room, or the job's record is to be confirmed.
  /// Precondition: `engine_views_` was started in this call of the loop.
  bool PlaceItem(OwnedJob& job, std::size_t i);
  /// Returns the engine that an item is to run on; nothing if it must wait. May
  /// discard the item's text.
  std::optional<UpstreamId> ChooseEngine(OwnedJob& job, std::size_t i,
                                         const ServiceName& service);
  /// Returns an estimate of the memory, in tokens, that own items use on each
  /// engine.
  EngineViewCache::EngineTokens EstimateOwnTokens() const;
  static std::int64_t TokensOf(const OwnedJob& job, std::size_t i);
  /// Returns whether an item has text and has waited long enough for an engine
  /// on which the text may go on.
  bool HasWaitedToResume(const ItemState& item) const;
  /// Discards the item's text, so that it begins again on any engine.
  void Restart(OwnedJob& job, std::size_t i, std::string_view reason);
  /// Discards the item's text if no engine may go on with it.
  void RestartIfNotResumable(OwnedJob& job, std::size_t i,
                             const EngineViews& engines);
  /// Returns whether the run's engine still has the software version that it
  /// had when the run began, as far as this instance knows.
  bool IsSameSoftware(const ItemRun& run) const;
  /// Requests permits for the limited engines that may run an item with these
  /// requirements.
  void RequestPermits(const EngineRequirements& need,
                      const EngineViews& engines);
  EngineRequirements RequirementsOf(const OwnedJob& job, std::size_t i) const;
  forward::RouteLookup FindRoute(const OwnedJob& job, std::size_t i) const;
  /// Sets the account of the job in the headers of a run, whatever the
  /// submitter put there.
  void SetAccount(const JobSpec& spec, proxy::HeaderList& headers) const;
  ItemRunSpec MakeRunSpec(const OwnedJob& job, std::size_t i,
                          const UpstreamId& engine) const;

  /// Returns whether items of the job may start: the record was confirmed
  /// recently, or the store fails. Otherwise reads the record.
  bool IsRecordConfirmed(const JobId& id, OwnedJob& job);
  void ReadOwnRecord(const JobId& id, OwnedJob& job);
  void OnOwnRecordRead(const JobId& id, const Result<StoredRecord>& read);

  void Resume(const JobId& id);
  void ExpireItems(const JobId& id, OwnedJob& job, TimePoint now);

  /// Gives up the waiting items of a loaded job that can never be sent; only
  /// earlier builds accepted such items.
  void GiveUpInvalidItems(const JobId& id, OwnedJob& job);

  void RecordRunEnd(const ItemRun& run, RunOutcome outcome, TimePoint now);
  void RecordGivenUpItem(const OwnedJob& job, std::size_t i,
                         const std::string& reason);

  void StartReward(const JobId& id, std::size_t i);
  void OnRewardDone(const JobId& id, std::size_t i,
                    const RewardOutcome& outcome);
  void StartPendingRewards();

  void ScheduleListing(const JobId& id, Duration delay);
  void WriteNext(const JobId& id);
  /// Returns what is to be written now; an empty chunk if there is nothing.
  JobChunk NextChunk(const OwnedJob& job) const;
  void WriteEnd(const JobId& id);
  /// Whether the job has been owned without a break since this epoch.
  bool IsCurrent(const JobId& id, std::uint64_t epoch) const;
  /// After the store refused the job's chunk as invalid: drops the checkpoint,
  /// which is only kept progress, and the results if the job is ending.
  void DropRefusedWrite(OwnedJob& job, const Error& error);
  /// Returns the job whose write has finished; null if the write failed, in
  /// which case a retry is scheduled. Precondition: `Owns(id)`.
  OwnedJob* FinishWrite(const JobId& id, const std::string& what,
                        const Result<RecordOutcome>& outcome);
  void OnChunkWritten(const JobId& id, const Result<RecordOutcome>& outcome);
  /// Updates the metrics with listed results and the groups that they complete.
  void RecordListedResults(const OwnedJob& job,
                           const std::vector<ItemResult>& results);
  void RecordTrainerWait(OwnedJob& job);
  WeightVersion NewestVersion(const ModelName& model) const;
  void OnEndWritten(const JobId& id, const Result<RecordOutcome>& outcome);
  void HandleOwnershipLoss(const JobId& id, const RecordChanged& changed);
  void ServePendingReads(OwnedJob& job);
  void StopWork(const JobId& id, OwnedJob& job);

  void Review();
  void ReviewRuns(TimePoint now);
  void MoveRun(const ItemKey& key);
  void ReviewJob(const JobId& id, OwnedJob& job, TimePoint now);
  bool IsStalled(const ItemRun& run, TimePoint now) const;
  bool ShouldMove(const ItemRun& run, TimePoint now);

  forward::ForwardContext& context_;
  JobStore& store_;
  const JobRunnerSettings settings_;
  const InstanceRecord& self_;
  Listener& listener_;
  const EnginePlacement placement_;
  LoopTimer review_timer_;
  LoopTimer placement_timer_;
  ItemProgressCache progress_cache_;
  PeerEngineLoads peer_loads_;
  /// Started anew by each round of placements and each review of the runs.
  EngineViewCache engine_views_;
  std::map<JobId, OwnedJob> jobs_;
  /// Jobs that are being loaded, once for each load.
  std::multiset<JobId> loading_;
  /// The configuration whose limits the jobs have.
  forward::ConfigurationVersion limits_version_;
  /// Epoch of the job that became owned last.
  std::uint64_t last_epoch_ = 0;
  std::map<JobId, PendingAccept> pending_accepts_;
  std::map<ItemKey, std::unique_ptr<ItemRun>> runs_;
  std::map<ItemKey, std::unique_ptr<RewardRun>> rewards_;
  /// Pending reward calls, with the time before which they must not be sent.
  std::map<ItemKey, TimePoint> pending_rewards_;
  BatchMetrics metrics_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_RUNNER_H_
