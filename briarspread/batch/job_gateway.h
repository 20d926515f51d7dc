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

/// Settings of the gateway.
struct JobGatewaySettings {
  /// How long a peer has to accept a job before it is tried here.
  milliseconds accept_timeout{1500};
  /// How long a peer has to answer beyond what a read may wait.
  milliseconds call_timeout{700};
  /// How long a peer has to take a job over.
  milliseconds adoption_timeout{2500};
  /// A job whose owner is gone is taken over by the best instance at once, by
  /// the next one so much later, and so on.
  milliseconds takeover_stagger{1500};
  /// How often jobs without an owner are looked for.
  milliseconds takeover_interval{300};
  /// How often the store is asked for jobs that no notice told of.
  seconds relist_interval{15};
  std::size_t max_indexed_jobs = 4096;
};

/// Batch jobs as callers at any instance see them: submits to the instance that
/// is to run a job, reads from its owner or from the store, and takes over jobs
/// whose owner is gone. Loop's thread only.
class JobGateway final : public JobRunner::Listener {
 public:
  template <typename T>
  using Done = AsyncStore::Done<T>;

  /// Precondition: references outlive this object.
  JobGateway(asio::io_context& loop, JobStore& store,
             InstanceRegistry& registry, PeerClient& peers, const Clock& clock,
             const JobGatewaySettings& settings);

  /// Precondition: called once, before anything else.
  void Start(JobRunner& runner);

  /// Accepts a job, here or at its home. An error of `kNotRun` says that no
  /// part of it runs.
  void Submit(JobSpec spec, Done<std::monostate> done);
  /// As `JobRunner::Read` for a job of any owner; `kNotFound` only where the
  /// store has no such job.
  void Read(const JobId& id, std::uint64_t after, milliseconds wait,
            Done<ResultPage> done);
  void ReadBody(const JobId& id, const ItemId& item, Done<std::string> done);
  void End(const JobId& id, Done<std::monostate> done);

  /// Gives all own jobs to peers, for a planned stop; `done` once that is over.
  void HandOverAll(const std::function<void()>& done);

  /// The registry has changed: jobs may have lost their owner.
  void OnInstancesChanged() { ReviewOwners(); }
  /// A peer tells of a job.
  void OnNotice(const StoredRecord& stored) { index_.Put(stored); }
  /// A peer hands a job over.
  void OnHandover(const StoredRecord& stored, const JobHandover& handover,
                  Done<std::monostate> done);
  /// Where the other instances that run open jobs answer, as far as is known.
  std::vector<Endpoint> OtherOwners() const;
  JobRunner& runner() { return *runner_; }
  /// Whether no more jobs are taken.
  bool is_stopping() const { return is_stopping_; }

  void OnJobRecord(const StoredRecord& stored) override;
  void OnJobDeleted(const JobId& id) override { index_.Erase(id); }

 private:
  /// What is known of a job whose owner seems gone.
  struct Orphan {
    TimePoint since{};
    bool is_probing = false;
    bool is_adopting = false;
    /// Probes in a row that the owner did not answer.
    int silent_probes = 0;
    /// Whether the owner is gone, or is another start.
    bool is_confirmed = false;
  };

  void SubmitToPeer(JobSpec spec, const InstanceRecord& home,
                    Done<std::monostate> done);
  /// Finds the job's record, in the index or the store.
  void FindRecord(const JobId& id, Done<StoredRecord> done);
  bool IsOwnRecord(const JobRecord& record) const;
  bool IsOwnerRegistered(const JobRecord& record) const;
  void ReadAtOwner(const StoredRecord& stored, std::uint64_t after,
                   milliseconds wait, Done<ResultPage> done);
  void ReadAtStore(const StoredRecord& stored, std::uint64_t after,
                   Done<ResultPage> done);
  void ReadBodyAtStore(const StoredRecord& stored, const ItemId& item,
                       Done<std::string> done);
  void EndAtStore(const JobId& id, Done<std::monostate> done);
  void Recover(const StoredRecord& stored);
  void ReviewOwners();
  void Probe(const StoredRecord& stored);
  void AdoptOrphan(const StoredRecord& stored);
  void Relist();
  void HandOver(const JobId& id, std::vector<InstanceRecord> candidates,
                const std::shared_ptr<int>& left,
                const std::function<void()>& done);

  JobStore& store_;
  InstanceRegistry& registry_;
  PeerClient& peers_;
  const Clock& clock_;
  const JobGatewaySettings settings_;
  JobRunner* runner_ = nullptr;
  JobIndex index_;
  std::map<JobId, Orphan> orphans_;
  LoopTimer review_timer_;
  LoopTimer relist_timer_;
  bool has_relisted_ = false;
  bool is_stopping_ = false;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_GATEWAY_H_
