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
#include "briarspread/contracts/claim_witness.h"
#include "briarspread/contracts/key_table.h"
#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of a home's service.
struct HomeServiceSettings {
  /// Commits.
  ClaimHomeSettings home;
  /// Keys and answers.
  KeyTableSettings keys;
  /// How long the first claim waits for others to share its commit, where the
  /// log commits. A standby's commit writes nothing to the store, so waiting
  /// would save nothing.
  milliseconds batching_delay{5};
  /// When a caller refused for lack of a commit is to come back.
  milliseconds retry_after{1000};
};

/// What a home's service calls. All outlive it.
struct HomeServiceLinks {
  /// The claim logs.
  ClaimLog* log = nullptr;
  /// The way to the standby.
  ClaimWitness* witness = nullptr;
  /// The time.
  const Clock* clock = nullptr;
};

/// Serves one home that this process owns. Calling threads commit in groups:
/// the first waits the batching delay and commits for all. Thread-safe.
class HomeService {
 public:
  /// Serves as `home` says. `keys` holds what is known of earlier terms.
  HomeService(HomeServiceSettings settings, HomeServiceLinks links,
              ClaimHome home, KeyTable keys, InstanceId standby);

  /// Decides on a request; never gives `NotHome` unless the home was lost.
  /// Blocks until its claim is committed, or the same request in progress
  /// ended, at most until `deadline`.
  ClaimDecision Begin(const Claim& claim, Epoch created_in, TimePoint deadline);
  /// Takes the end of a request for which `Begin` gave `RunIt`.
  void Finish(const RequestKey& key, KeyedOutcome outcome);

  /// Sends a heartbeat, brings the standby in sync and forgets old keys. To be
  /// called several times within the takeover right. Blocks for calls to the
  /// standby, and to the store while that commits.
  void Heartbeat();
  /// Writes what the log lacks and trims what is older than the re-send window.
  /// To be called about each `log_delay`, by another
  /// thread than `Heartbeat`, which a slow store must not hold up.
  void WriteLog();

  /// Turns a solo service into one that owns `term`, after a takeover with the
  /// store. `logged` are the claims in the logs, `held` those of the standby's
  /// copy.
  void Promote(HomeTerm term, InstanceId standby,
               const std::vector<Claim>& logged, std::vector<Claim> held,
               bool has_gap);

  /// Another process owns the home.
  void Depose();
  bool is_deposed() const;
  ClaimHome::Mode mode() const;
  Epoch term() const;

 private:
  /// One thread's claim.
  struct Waiter {
    Claim claim;
    /// Whether the commit ended, and how.
    bool is_settled = false;
    bool is_committed = false;
    /// Whether the thread gave up; nobody runs the request then.
    bool is_abandoned = false;
  };
  using Lock = std::unique_lock<std::mutex>;

  ClaimDecision Commit(Lock& lock, const Claim& claim, TimePoint deadline);
  void Lead(Lock& lock);
  void Drive(Lock& lock);
  bool DriveWitness(Lock& lock);
  bool DriveAppend(Lock& lock);
  void Trim(Lock& lock);
  void Settle(const std::vector<std::shared_ptr<Waiter>>& group,
              bool is_committed);
  ClaimDecision Refuse(ErrorCode code, Verdict verdict,
                       const char* message) const;

  /// Bounds and times.
  HomeServiceSettings settings_;
  /// What it calls.
  HomeServiceLinks links_;
  /// The standby's instance.
  InstanceId standby_;
  /// Guards all below.
  mutable std::mutex mutex_;
  /// Signals any change below.
  std::condition_variable changed_;
  /// Decides on commits.
  ClaimHome home_;
  /// What is known of each key.
  KeyTable keys_;
  /// Claims not yet in a commit.
  std::deque<std::shared_ptr<Waiter>> waiting_;
  /// When segments of this term were written, and their numbers.
  std::deque<std::pair<TimePoint, std::uint64_t>> logged_;
  /// When logs of earlier terms may be deleted; the end of time where that is
  /// done.
  TimePoint trim_terms_at_ = TimePoint::max();
  /// Whether a thread commits now.
  bool has_leader_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HOME_SERVICE_H_
