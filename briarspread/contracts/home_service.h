#ifndef BRIARSPREAD_CONTRACTS_HOME_SERVICE_H_
#define BRIARSPREAD_CONTRACTS_HOME_SERVICE_H_

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "briarspread/contracts/claim_decision.h"
#include "briarspread/contracts/claim_home.h"
#include "briarspread/contracts/claim_log.h"
#include "briarspread/contracts/key_table.h"
#include "briarspread/contracts/standby_client.h"
#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of `HomeService`.
struct HomeServiceSettings {
  ClaimHomeSettings home;
  KeyTableSettings keys;
  /// How long the first claim of a group commit waits for further claims in the
  /// out-of-sync mode. There is no delay in the in-sync mode: a commit by the
  /// standby writes nothing to the store, so a larger group saves no writes.
  milliseconds batching_delay{5};
  /// When a caller may retry after a refusal for a full key table, a missed
  /// deadline or a failed commit.
  milliseconds retry_after{1000};
};

/// The objects that a `HomeService` uses. They must outlive it.
struct HomeServiceDependencies {
  ClaimLog* log = nullptr;
  /// Sends batches of claims to the standby.
  StandbyClient* standby_client = nullptr;
  const Clock* clock = nullptr;
};

/// Serves one home that this process owns. Commits the claims of concurrent
/// callers in groups: the first calling thread waits for the batching delay and
/// then commits the claims of all threads that wait. Thread-safe.
class HomeService {
 public:
  /// Serves the home of `home`. `keys` holds the keys of earlier terms.
  /// `standby` is empty if there is none.
  HomeService(HomeServiceSettings settings,
              HomeServiceDependencies dependencies, ClaimHome home,
              KeyTable keys, InstanceId standby);

  /// Decides how to handle a request. Returns `NotOwner` only if the home was
  /// deposed. Blocks until the claim is committed or an earlier request with
  /// the same key has ended, but not longer than about `deadline`.
  ClaimDecision Begin(const Claim& claim, Epoch created_in, TimePoint deadline);
  /// Records the outcome of a request for which `Begin` returned `RunRequest`.
  void Finish(const RequestKey& key, KeyedOutcome outcome);

  /// Sends a heartbeat, brings the standby in sync and removes expired keys.
  /// Must be called several times within the standby's takeover lease. Blocks
  /// for calls to the standby and, while claims are committed in the log, for
  /// calls to the store.
  void Heartbeat();
  /// Appends claims that the log lacks, if due, and trims claims older than the
  /// re-send window. Must be called about once per `log_delay`, on another
  /// thread than `Heartbeat`, because a slow store must not delay heartbeats.
  void WriteLog();

  /// Makes the service the owner of `term` after a takeover through the store.
  /// The service is in the solo mode before. `logged` are the claims in the
  /// logs, `held` the claims in the standby's copy, `has_gap` whether claims of
  /// earlier terms may be lost. Waits for a commit in progress.
  void Promote(HomeTerm term, InstanceId standby,
               const std::vector<Claim>& logged, std::vector<Claim> held,
               bool has_gap);

  /// Records that another process owns the home.
  void Depose();
  bool is_deposed() const;
  ClaimHome::Mode mode() const;
  Epoch term() const;

 private:
  /// A claim for which a thread waits.
  struct PendingClaim {
    Claim claim;
    /// Whether the commit has finished.
    bool is_finished = false;
    /// Whether the finished commit succeeded.
    bool is_committed = false;
    /// Whether the thread reached its deadline and will not run the request.
    bool is_abandoned = false;
  };
  using Lock = std::unique_lock<std::mutex>;

  ClaimDecision Commit(Lock& lock, const Claim& claim, TimePoint deadline);
  void CommitGroup(Lock& lock);
  void DriveCommit(Lock& lock);
  bool SendStandbyBatch(Lock& lock);
  bool SendAppend(Lock& lock);
  void TrimLogs(Lock& lock);
  void CompleteGroup(const std::vector<std::shared_ptr<PendingClaim>>& group,
                     bool is_committed);
  ClaimDecision Refuse(ErrorCode code, Verdict verdict,
                       const char* message) const;

  HomeServiceSettings settings_;
  HomeServiceDependencies dependencies_;
  /// The standby's instance.
  InstanceId standby_;
  /// Guards all members below.
  mutable std::mutex mutex_;
  /// Notified after changes of the members below.
  std::condition_variable changed_;
  ClaimHome home_;
  KeyTable keys_;
  /// Claims that are not part of a commit yet.
  std::deque<std::shared_ptr<PendingClaim>> pending_claims_;
  /// Write time and number of each untrimmed segment of this term, oldest
  /// first.
  std::deque<std::pair<TimePoint, std::uint64_t>> written_segments_;
  /// When the logs of earlier terms may be deleted; `max()` if there are none
  /// or they are deleted.
  TimePoint trim_terms_at_ = TimePoint::max();
  /// Whether a thread is committing a group or sending a heartbeat.
  bool has_leader_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HOME_SERVICE_H_
