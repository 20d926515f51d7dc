#ifndef BRIARSPREAD_BATCH_JOB_GATEWAY_H_
#define BRIARSPREAD_BATCH_JOB_GATEWAY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/batch/job_index.h"
#include "briarspread/batch/job_runner.h"
#include "briarspread/fleet/instance_registry.h"
#include "briarspread/fleet/peer_client.h"

namespace briarspread::batch {

/// Settings of `JobGateway`.
struct JobGatewaySettings {
  /// Timeout of a call that asks another instance to accept a job; after it the
  /// job is accepted here.
  milliseconds accept_timeout{1500};
  /// Timeout of calls to other instances, on top of the time that a read may
  /// wait.
  milliseconds call_timeout{700};
  /// Timeout of a call that hands a job over to another instance or ends a job
  /// there.
  milliseconds adoption_timeout{2500};
  /// Delay between the takeover attempts of successive instances in home order:
  /// the first one takes over a job whose owner is unreachable at once, the
  /// second one after this time, and so on.
  milliseconds takeover_stagger{1500};
  /// Interval between checks for jobs without a reachable owner.
  milliseconds takeover_interval{300};
  /// Delay before a failed takeover, load or read of a record is retried. It
  /// doubles with each failure, up to the maximum.
  milliseconds min_retry_pause{300};
  milliseconds max_retry_pause{5000};
  /// Time for which the store is asked whether a write of unknown outcome has
  /// taken effect: such a write may be executed late.
  milliseconds unknown_outcome_time{20000};
  /// Interval between full listings of the records in the store, which find
  /// jobs whose notice was lost.
  seconds index_refresh_interval{15};
  std::size_t max_indexed_jobs = 4096;
};

/// Gives callers at any instance access to all batch jobs: forwards submissions
/// to the instance that is to run the job, reads from the job's owner or from
/// the store, and takes over jobs whose owner is unreachable. Loop's thread
/// only.
class JobGateway final : public JobRunner::Listener {
 public:
  template <typename T>
  using Done = AsyncStore::Done<T>;

  /// Precondition: references outlive this object.
  JobGateway(asio::io_context& loop, JobStore& store,
             InstanceRegistry& registry, PeerClient& peers, const Clock& clock,
             const JobGatewaySettings& settings);

  /// Precondition: called once, before any other function.
  void Start(JobRunner& runner);

  /// Accepts a job, here or at its home. An error with the verdict `kNotRun`
  /// means that no part of the job runs; `kNotFound` means that another account
  /// has a job with this id.
  void Submit(JobSpec spec, Done<std::monostate> done);
  /// Checks that a job exists and that a caller of this account may access it;
  /// fails with `kNotFound` if not. Without an account, `done` gets no error.
  void CheckAccess(const JobId& id,
                   const std::optional<accounts::AccountId>& caller,
                   const Done<std::monostate>& done);
  /// Like `JobRunner::Read`, but for jobs of any owner. Fails with `kNotFound`
  /// only if the store has no such job.
  void Read(const JobId& id, std::uint64_t after, milliseconds wait,
            Done<ResultPage> done);
  void ReadBody(const JobId& id, const ItemId& item, Done<std::string> done);
  void End(const JobId& id, Done<std::monostate> done);

  /// Hands all open own jobs over to other instances, before a planned stop.
  /// Calls `done` once every handover succeeded or failed.
  void HandOverAll(const std::function<void()>& done);

  /// Called when the instance registry has changed: owners of jobs may have
  /// left it.
  void OnInstancesChanged() { ReviewOwners(); }
  /// Called when another instance announces the record of a job.
  void OnNotice(const StoredRecord& stored) { LearnRecord(stored); }
  /// Called when another instance asks for a job that is not held here: the
  /// store may name this instance as its owner.
  void OnUnheldJobRequested(const JobId& id);
  /// Called when another instance hands a job over to this one.
  void OnHandover(const StoredRecord& stored, const JobHandover& handover,
                  Done<std::monostate> done);
  /// Returns the peer endpoints of the other registered instances that own open
  /// jobs, as far as the index knows them.
  std::vector<Endpoint> OtherOwnerEndpoints() const;
  /// Returns the index, encoded for an instance that starts; nothing while this
  /// instance has not completed its own index.
  std::optional<std::string> EncodedIndex() const {
    if (!has_refreshed_index_) return std::nullopt;
    return EncodeRecords(index_.all());
  }
  /// Returns `JobIndex::ItemsAtOnce` of the jobs that this instance knows.
  std::optional<std::uint64_t> ItemsAtOnce(const ModelName& model) const {
    return index_.ItemsAtOnce(model);
  }
  JobRunner& runner() { return *runner_; }
  /// Whether this instance accepts and takes over no more jobs.
  bool is_stopping() const { return is_stopping_; }

  void OnJobRecord(const StoredRecord& stored) override;
  void OnJobDeleted(const JobId& id) override { index_.Erase(id); }
  void OnOwnershipUnknown(const JobId& id) override {
    ConfirmRecord(id, settings_.unknown_outcome_time);
  }

 private:
  /// The pause before the next retry, and how long it is; zero before the first
  /// failure.
  struct RetryPause {
    TimePoint until{};
    Duration pause{0};
  };

  /// An open job that possibly no instance runs: its owner may be unreachable,
  /// or is this instance, which does not hold it.
  struct Orphan {
    /// When the job was first found to be an orphan.
    TimePoint lost_at{};
    RetryPause retry;
    bool is_probing = false;
    bool is_adopting = false;
    /// Consecutive probes that the owner did not answer.
    int unanswered_probes = 0;
    /// Whether the owner is confirmed to be unreachable, or its endpoint now
    /// answers as another incarnation.
    bool is_owner_lost = false;
  };

  /// A record that is to be read from the store.
  struct UnconfirmedRecord {
    /// Until when a missing record may still appear.
    TimePoint until{};
    RetryPause retry;
    bool is_reading = false;
  };

  /// Returns the record of a job that is held here or indexed.
  std::optional<JobRecord> FindKnownRecord(const JobId& id);
  void SubmitToPeer(JobSpec spec, const InstanceRecord& home,
                    Done<std::monostate> done);
  /// Puts a record into the index, and gives the job up if it is held here
  /// although the record says otherwise.
  void LearnRecord(const StoredRecord& stored);
  /// Has the records of the held jobs read if the registration had lapsed:
  /// other instances may have taken the jobs over meanwhile.
  void CheckRegistration();
  /// Looks the record of the job up in the index, then in the store.
  void FindRecord(const JobId& id, Done<StoredRecord> done);
  bool IsOwnerRegistered(const JobRecord& record) const;
  void ReadFromOwner(const StoredRecord& stored, std::uint64_t after,
                     milliseconds wait, Done<ResultPage> done);
  void ReadFromStore(const StoredRecord& stored, std::uint64_t after,
                     Done<ResultPage> done);
  void ReadBodyFromStore(const StoredRecord& stored, const ItemId& item,
                         Done<std::string> done);
  /// Sends a record to all peers and to an owner that may be registered no
  /// longer; an endpoint without a port for none.
  void AnnounceRecord(const StoredRecord& stored, const Endpoint& former_owner);
  void EndInStore(const JobId& id, Done<std::monostate> done);
  /// Loads a job that the store says this instance owns, unless it is held or
  /// being loaded.
  void LoadOwnJob(const StoredRecord& stored);
  /// Doubles the pause after a failure, within the settings' limits.
  void PauseRetries(RetryPause& retry) const;
  /// Reads the record of a job from the store, again until it is found or
  /// `missing_for` has passed, so that a job that names this instance is
  /// loaded.
  void ConfirmRecord(const JobId& id, Duration missing_for);
  void ReadUnconfirmedRecords();
  void OnUnconfirmedRecordRead(const JobId& id,
                               const Result<StoredRecord>& read);
  /// Handles the end of a takeover or load of an orphan.
  void OnOrphanAdopted(const JobId& id, const Result<std::monostate>& result);
  /// Whether possibly no instance runs the job, although it is open.
  bool IsOrphan(const StoredRecord& stored) const;
  void ReviewOrphan(const StoredRecord& stored);
  /// Reads the record of an orphan, then loads the job or takes it over.
  void ReadOrphan(const JobId& id);
  void OnOrphanRead(const JobId& id, const Result<StoredRecord>& read);
  void ReviewOwners();
  void ProbeOwner(const StoredRecord& stored);
  void AdoptOrphan(const StoredRecord& stored);
  void RefreshIndex();
  /// Completes the index by that of the last of `peers` that answers, or by
  /// listing the store if there is none.
  void GetFirstIndex(std::vector<InstanceRecord> peers);
  void CompleteIndex(const std::vector<StoredRecord>& records);
  void HandOver(const JobId& id, std::vector<InstanceRecord> candidates,
                const std::shared_ptr<int>& remaining,
                const std::function<void()>& done);

  JobStore& store_;
  InstanceRegistry& registry_;
  PeerClient& peers_;
  const Clock& clock_;
  const JobGatewaySettings settings_;
  JobRunner* runner_ = nullptr;
  JobIndex index_;
  std::map<JobId, Orphan> orphans_;
  std::map<JobId, UnconfirmedRecord> unconfirmed_;
  LoopTimer review_timer_;
  LoopTimer index_refresh_timer_;
  bool has_refreshed_index_ = false;
  /// Pause between attempts at the first listing of the records.
  RetryPause index_retry_;
  /// The lease of the registration under which the held jobs were owned.
  StoreLeaseId registration_lease_;
  bool is_stopping_ = false;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_GATEWAY_H_
