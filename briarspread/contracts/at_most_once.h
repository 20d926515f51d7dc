#ifndef BRIARSPREAD_CONTRACTS_AT_MOST_ONCE_H_
#define BRIARSPREAD_CONTRACTS_AT_MOST_ONCE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "briarspread/contracts/claim_decision.h"
#include "briarspread/contracts/claim_standby.h"
#include "briarspread/contracts/home_service.h"
#include "briarspread/contracts/home_table.h"
#include "briarspread/contracts/home_takeover.h"
#include "briarspread/contracts/standby_client.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/key_value_store.h"

namespace briarspread {

/// Runs requests that carry an idempotency key at most once: serves the homes
/// that this process owns, is the standby of other owners' homes, and takes
/// homes over.
///
/// A process must stop committing claims before it closes its listener: other
/// processes treat a refused connection as proof that it has ended.
/// Thread-safe.
class AtMostOnce {
 public:
  /// Creates the object for the process `self`. Preconditions: the referenced
  /// objects outlive this one; no earlier process had the id `self`.
  AtMostOnce(HomeServiceSettings settings, ProcessId self, KeyValueStore& store,
             StandbyClient& standby_client, const Clock& clock);

  /// Writes `homes` to the store as the first table unless the store holds a
  /// table. Then reads the table from the store.
  Status CreateTable(const std::vector<Home>& homes);
  /// Reads the table from the store. Must be called about once a second.
  Status Refresh();
  /// Applies a table received from a peer or read from the store. A table whose
  /// epoch is not newer than that of the current table is ignored.
  void ApplyTable(const HomeTable& table);
  /// Returns the newest known table.
  HomeTable table() const;

  /// Decides how to handle a request with an idempotency key. `created_in` is
  /// the table's epoch that the caller knew when it created the key; zero if
  /// unknown. Blocks until about `deadline` at the latest.
  ClaimDecision Begin(const RequestKey& key, Fingerprint fingerprint,
                      Epoch created_in, TimePoint deadline);
  /// Records the outcome of a request for which `Begin` returned `RunRequest`.
  /// After the verdict `kNotRun` the request runs when it is sent again.
  void Finish(const RequestKey& key, KeyedOutcome outcome);

  /// Handles a batch of claims that a home's owner sent to this process as its
  /// standby, and returns the reply.
  ClaimBatchReply OnClaimBatch(const ClaimBatch& batch);

  /// Tries to take the home over through the store. The present owner may still
  /// be running; sealing its log deposes it. `is_standby_dead` must be true
  /// only with proof that the standby process named in the home's log has
  /// ended. The call may be retried after a `kUnavailable` error; until it
  /// succeeds this process runs no requests of the home.
  Status TakeOver(const HomeName& home, bool is_standby_dead,
                  const InstanceId& next_standby);
  /// Takes the home over as its standby, without the store. Precondition: the
  /// owner's address refused a connection, or another incarnation answered
  /// there. Fails with `kUnavailable` if the copy of the claims is not in sync
  /// or the lease for such a takeover has expired.
  Status TakeOverInMemory(const HomeName& home);

  /// Returns whether this process serves the home, as its owner or after a
  /// takeover without the store.
  bool IsServing(const HomeName& home) const;

  /// Sends the heartbeats of all homes that this process serves.
  void Heartbeat();
  /// Writes and trims the claim logs of all homes that this process serves.
  void WriteLogs();

 private:
  /// This process's copy of the claims of a home that another process owns.
  struct StandbyCopy {
    /// The owner's term.
    Epoch term;
    ClaimStandby claims;
  };
  std::shared_ptr<HomeService> ServiceOf(const HomeName& home) const;
  std::vector<std::shared_ptr<HomeService>> Services() const;
  std::optional<std::vector<Claim>> FenceCopy(const Home& home);
  StandbyEvidence EvidenceOf(const SealedLog& log, bool has_copy,
                             bool is_standby_dead) const;
  bool IsCurrentOwner(const Home& home) const;
  Status BecomeOwner(const Home& home, const std::vector<Claim>& logged,
                     const std::vector<Claim>& held, bool has_gap);
  OperationId NextOperation();

  HomeServiceSettings settings_;
  /// The id of this process.
  ProcessId self_;
  /// Reads and writes the home table in the store.
  HomeTableStore tables_;
  ClaimLog log_;
  /// Sends batches of claims to standbys.
  StandbyClient& standby_client_;
  const Clock& clock_;
  /// Serializes takeovers through the store.
  std::mutex takeover_mutex_;
  /// Guards all members below.
  mutable std::mutex mutex_;
  /// The newest known table.
  HomeTable table_;
  /// The services of homes that this process owns or owned. A deposed service
  /// stays until this process takes the home over again.
  std::map<HomeName, std::shared_ptr<HomeService>> services_;
  /// The copies of claims that this process holds as a standby.
  std::map<HomeName, StandbyCopy> copies_;
  /// The number of the last operation id generated.
  std::uint64_t last_operation_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_AT_MOST_ONCE_H_
