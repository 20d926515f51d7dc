#ifndef BRIARSPREAD_WEIGHTS_LEASE_H_
#define BRIARSPREAD_WEIGHTS_LEASE_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/random_source.h"

namespace briarspread {

/// Settings of `Lease`.
struct LeaseSettings {
  /// The key of the record.
  std::string key;
  /// How long one write holds the lease.
  milliseconds duration{30000};
  /// How much earlier the holder stops, and how much longer a contender waits,
  /// for the difference between clocks' rates.
  milliseconds margin{1000};
  /// How often the holder writes the record again.
  milliseconds renew_interval{10000};
};

/// The lease's record in the store. It is never deleted, so that the fencing
/// number only grows.
struct LeaseRecord {
  /// Who holds it.
  InstanceId holder;
  /// The holder's start.
  Incarnation incarnation;
  /// Grows with each acquisition.
  FencingNumber fencing;
  /// How long the last write holds.
  milliseconds duration{0};
  /// Whether the holder gave it up, with none of its orders in flight.
  bool released = false;
  /// The last write, to read back a lost answer.
  OperationId operation;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

void to_json(nlohmann::json& json, const LeaseRecord& record);
/// Throws nlohmann::json::exception on bad input.
void from_json(const nlohmann::json& json, LeaseRecord& record);

/// What a holder may do, at one moment.
struct LeaseView {
  /// Whether the lease is held, by the holder's own clock.
  bool held = false;
  /// The holder's fencing number.
  FencingNumber fencing;
  /// When it was acquired.
  TimePoint acquired_at;
  /// When it ends unless renewed, the margin taken off.
  TimePoint held_until;
  /// Whether the holder before gave it up, or there was none.
  bool after_release = false;
};

/// A lease over one key of the store, by compare-and-swap. No two clocks are
/// compared: a contender takes over only after it saw the record unchanged for
/// the record's whole duration and the margin by its own clock, and a holder
/// stops by its own clock, counted from before its last write was sent. Not
/// thread-safe.
class Lease {
 public:
  /// Precondition: references outlive this object; `margin` is below
  /// `duration`.
  Lease(const LeaseSettings& settings, const InstanceId& self,
        Incarnation incarnation, KeyValueStore& store, const Clock& clock,
        RandomSource& random);

  /// Acquires, renews or watches, as is due; makes at most two store calls.
  /// To be called about every `renew_interval`, or more often.
  void Step();
  /// Gives the lease up early, for a planned stop. Precondition: no order of
  /// this holder is in flight. The lease counts as lost at once.
  void Release();
  /// What this instance may do now. Compares with the clock at each call.
  LeaseView View() const;

 private:
  /// A write to the record.
  struct PendingWrite {
    LeaseRecord record;
    /// When it was sent.
    TimePoint sent_at;
    /// As `LeaseView::after_release`.
    bool after_release = false;
  };

  /// Reads the record; returns false where the store did not answer.
  bool Read();
  void SettlePending();
  void Renew();
  void Contend(TimePoint asked_at);
  void Write(PendingWrite write);
  void TakeWritten(const PendingWrite& write);
  bool IsHeldAt(TimePoint now) const;

  const LeaseSettings settings_;
  const InstanceId self_;
  const Incarnation incarnation_;
  KeyValueStore& store_;
  const Clock& clock_;
  RandomSource& random_;

  /// The record as last read or written; nothing where the key is absent.
  std::optional<LeaseRecord> seen_;
  /// The record's index.
  StoreIndex seen_index_;
  /// When a record with that index was first seen.
  TimePoint seen_since_;
  /// The write whose answer was lost.
  std::optional<PendingWrite> pending_;
  /// Whether the last acquisition is this object's.
  bool holder_ = false;
  /// What the last acquisition allows; `held` is worked out at each call.
  LeaseView view_;
  /// When to renew.
  TimePoint renew_at_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_LEASE_H_
