#ifndef BRIARSPREAD_CONTRACTS_CLAIM_STANDBY_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_STANDBY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of the standby's lease for a takeover without the store. The owner
/// and the standby of a home must use the same values.
struct StandbySettings {
  /// Duration of the lease, from when the standby sent the last acknowledgement
  /// that the owner confirmed.
  milliseconds takeover_lease{2000};
  /// Additional time for which the owner treats the lease as valid, because the
  /// clocks of the two machines may run at different rates.
  milliseconds clock_margin{500};
};

/// The copy of one home's claims at its standby. Held in memory only, so it is
/// lost when the process ends. Once the copy is fenced, it rejects every batch;
/// an owner whose batch is rejected for that reason is deposed.
/// Not thread-safe.
class ClaimStandby {
 public:
  /// Creates an empty copy for the term `term` of `home`, held by incarnation
  /// `self` of the standby.
  ClaimStandby(StandbySettings settings, HomeName home, Epoch term,
               Incarnation self);

  /// Applies a batch and returns the reply. Precondition: the batch is for this
  /// home and term.
  ClaimBatchReply OnBatch(const ClaimBatch& batch, TimePoint now);

  /// Makes the copy reject all further batches. Can't be undone.
  void Fence() { fenced_ = true; }
  bool is_fenced() const { return fenced_; }

  /// Returns whether the copy holds every claim that was committed by this
  /// standby's acknowledgement alone since the home's log named this standby.
  bool is_synced() const { return synced_; }

  /// Returns whether the home may be taken over without the store: the copy is
  /// in sync and not fenced, and the takeover lease has not expired. The caller
  /// also needs proof that the owner's process has ended, such as a refused
  /// connection: an owner that does not respond may only be paused.
  bool CanTakeOverInMemory(TimePoint now) const;

  /// Removes claims received before `oldest`. Their keys must be past the
  /// re-send window.
  void Expire(TimePoint oldest);

  /// Returns all claims in the copy.
  std::vector<Claim> Claims() const;

  /// Returns the state as text, for logs and for comparing states in tests.
  std::string DebugString(TimePoint now) const;

 private:
  void RenewLease(std::uint64_t granted_ack);

  StandbySettings settings_;
  HomeName home_;
  /// The owner's term.
  Epoch term_;
  /// The incarnation of this process.
  Incarnation self_;
  /// Whether a batch with `is_reset` was applied.
  bool synced_ = false;
  /// Whether all batches are rejected.
  bool fenced_ = false;
  /// The sequence number of the last batch applied.
  std::uint64_t last_sequence_ = 0;
  /// The number of the last acknowledgement.
  std::uint64_t last_ack_ = 0;
  /// When each acknowledgement that is not confirmed yet was sent, by number.
  std::map<std::uint64_t, TimePoint> sent_acks_;
  /// When the takeover lease expires.
  TimePoint lease_end_;
  /// One claim in the copy.
  struct StoredClaim {
    /// Hash of the request's body.
    Fingerprint fingerprint;
    /// When the claim was received.
    TimePoint received_at;
  };
  /// The claims by idempotency key.
  std::map<RequestKey, StoredClaim> claims_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_STANDBY_H_
