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
#include "briarspread/contracts/claim_witness.h"
#include "briarspread/contracts/home_service.h"
#include "briarspread/contracts/home_table.h"
#include "briarspread/contracts/home_takeover.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/key_value_store.h"

namespace briarspread {

/// What one process does for at-most-once requests: serves the homes it owns,
/// stands by for others, and takes homes over.
///
/// A process must stop committing before it closes its listener: a refused
/// connection is the proof that it is gone.
/// Thread-safe.
class AtMostOnce {
 public:
  /// Acts as `self`. Preconditions: the references outlive this object; no
  /// earlier process had `self`.
  AtMostOnce(HomeServiceSettings settings, ProcessId self, KeyValueStore& store,
             ClaimWitness& witness, const Clock& clock);

  /// Writes the first table, with all homes owned by `owners` in turn, unless
  /// the store holds one. Reads the table in either case.
  Status CreateTable(const std::vector<Home>& homes);
  /// Reads the table from the store. To be called every second or so.
  Status Refresh();
  /// Takes a table from a peer or the store; an older one changes nothing.
  void OnTable(const HomeTable& table);
  /// The newest table known.
  HomeTable table() const;

  /// Decides on a request with an idempotency key. `created_in` is the epoch
  /// that the caller knew as it made the key; zero for unknown. Blocks at most
  /// about until `deadline`.
  ClaimDecision Begin(const RequestKey& key, Fingerprint fingerprint,
                      Epoch created_in, TimePoint deadline);
  /// Takes the end of a request for which `Begin` gave `RunIt`; a verdict of
  /// `kNotRun` lets a re-send run.
  void Finish(const RequestKey& key, KeyedOutcome outcome);

  /// Takes a batch from a home's owner.
  WitnessAnswer OnWitnessBatch(const WitnessBatch& batch);

  /// Tries to take the home over through the store. Its owner may be alive: it
  /// finds itself deposed. `is_standby_dead` states proof that the standby
  /// process that the home's log names is gone. An error with `kUnavailable`
  /// may be retried; nothing is run meanwhile.
  Status TakeOver(const HomeName& home, bool is_standby_dead,
                  const InstanceId& next_standby);
  /// As the standby, takes the home over without the store. Precondition: the
  /// owner's address refused a connection, or another incarnation answered
  /// there. Refused where the copy is not in sync or the right has lapsed.
  Status TakeOverInMemory(const HomeName& home);

  /// Whether this process serves the home, as its owner or after a takeover
  /// without the store.
  bool IsServing(const HomeName& home) const;

  /// Runs the heartbeats of all own homes.
  void Heartbeat();
  /// Writes the logs of all own homes.
  void WriteLogs();

 private:
  /// A copy for another's home.
  struct Copy {
    /// The owner's term.
    Epoch term;
    /// The claims.
    ClaimStandby claims;
  };
  std::shared_ptr<HomeService> ServiceOf(const HomeName& home) const;
  std::vector<std::shared_ptr<HomeService>> Services() const;
  std::optional<std::vector<Claim>> FenceCopy(const Home& home);
  StandbyEvidence EvidenceOf(const SealedLog& log, bool has_copy,
                             bool is_standby_dead) const;
  bool Serves(const Home& home) const;
  Status Adopt(const Home& home, const std::vector<Claim>& logged,
               const std::vector<Claim>& held, bool has_gap);
  OperationId NextOperation();

  /// Bounds and times.
  HomeServiceSettings settings_;
  /// This process.
  ProcessId self_;
  /// The table's place in the store.
  HomeTableStore tables_;
  /// The claim logs.
  ClaimLog log_;
  /// The way to standbys.
  ClaimWitness& witness_;
  /// The time.
  const Clock& clock_;
  /// Allows one takeover at a time.
  std::mutex takeover_mutex_;
  /// Guards all below.
  mutable std::mutex mutex_;
  /// The newest table known.
  HomeTable table_;
  /// Own homes, deposed ones included until their term is over.
  std::map<HomeName, std::shared_ptr<HomeService>> services_;
  /// Copies of others' claims.
  std::map<HomeName, Copy> copies_;
  /// Numbers operations.
  std::uint64_t last_operation_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_AT_MOST_ONCE_H_
