#ifndef BRIARSPREAD_CONTRACTS_CLAIM_STANDBY_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_STANDBY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/core/clock.h"

namespace briarspread {

/// How a home and its standby share time. Both sides use the same values.
struct StandbySettings {
  /// How long the standby may take over without the store, from when it sent
  /// the last acknowledgement that the home confirmed.
  milliseconds takeover_right{2000};
  /// What the home waits beyond that, for clocks that run at unlike rates.
  milliseconds clock_margin{500};
};

/// The copy of one home's claims at its standby: soft state of one process.
/// The standby refuses every batch once it is fenced; a home whose batch is
/// refused is deposed. Not thread-safe.
class ClaimStandby {
 public:
  /// Stands by for term `term` of `home` as incarnation `self`.
  ClaimStandby(StandbySettings settings, HomeName home, Epoch term,
               Incarnation self);

  /// Takes a batch and gives the answer to send back.
  WitnessAnswer OnBatch(const WitnessBatch& batch, TimePoint now);

  /// Refuses all further batches, for good.
  void Fence() { fenced_ = true; }
  bool is_fenced() const { return fenced_; }

  /// Whether the copy held every claim that the home committed by this
  /// standby's acknowledgement alone, ever since the home's log named it.
  bool is_synced() const { return synced_; }

  /// Whether the home's keys may be run without asking the store. The caller
  /// must also have proof that the owner's process is gone, such as a refused
  /// connection: a silent owner may be paused.
  bool MayTakeOverInMemory(TimePoint now) const;

  /// Forgets claims taken before `oldest`, which no caller sends again.
  void Expire(TimePoint oldest);

  /// All claims held.
  std::vector<Claim> Claims() const;

  /// The state as text, for logs and for telling states apart.
  std::string DebugString(TimePoint now) const;

 private:
  void Renew(std::uint64_t granted_ack);

  /// Shared times.
  StandbySettings settings_;
  /// Whose claims these are.
  HomeName home_;
  Epoch term_;
  /// This process.
  Incarnation self_;
  /// Whether a reset was taken.
  bool synced_ = false;
  /// Whether batches are refused.
  bool fenced_ = false;
  /// The last batch taken.
  std::uint64_t last_sequence_ = 0;
  /// The last acknowledgement's number.
  std::uint64_t last_ack_ = 0;
  /// When acknowledgements not yet confirmed were sent, by number.
  std::map<std::uint64_t, TimePoint> sent_;
  /// When the right to take over lapses.
  TimePoint right_until_;
  /// One claim held.
  struct Held {
    /// The body's hash.
    Fingerprint fingerprint;
    /// When it was taken.
    TimePoint taken;
  };
  /// The claims, by key.
  std::map<RequestKey, Held> claims_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_STANDBY_H_
