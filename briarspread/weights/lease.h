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
  /// Key of the lease's record in the store.
  std::string key;
  /// How long the lease is held after a write of the record.
  milliseconds duration{30000};
  /// Time by which the holder stops before the lease's duration is over, and by
  /// which a contender waits longer than that duration. It covers the
  /// difference between the rates of two clocks.
  milliseconds margin{1000};
  /// Interval at which the holder renews the lease by writing the record.
  milliseconds renew_interval{10000};
};

/// The lease's record in the store. The record is never deleted, so the fencing
/// number never decreases.
struct LeaseRecord {
  /// The instance that acquired the lease last.
  InstanceId holder;
  /// The holder's incarnation, which is different after a restart.
  Incarnation incarnation;
  /// Fencing number of the holder; increases with each acquisition.
  FencingNumber fencing;
  /// How long the lease is held after the last write.
  milliseconds duration{0};
  /// Whether the holder released the lease, with none of its orders in flight.
  bool released = false;
  /// Id of the last write. A writer whose response was lost finds out by this
  /// id whether its write was applied.
  OperationId operation;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

void to_json(nlohmann::json& json, const LeaseRecord& record);
/// Throws nlohmann::json::exception on bad input.
void from_json(const nlohmann::json& json, LeaseRecord& record);

/// The state of the lease as seen by one instance at one moment.
struct LeaseView {
  /// Whether this instance holds the lease, by its own clock. The other members
  /// are meaningful only if it does.
  bool is_held = false;
  /// This instance's fencing number.
  FencingNumber fencing;
  /// When this instance acquired the lease.
  TimePoint acquired_at;
  /// When the lease ends unless it is renewed; `LeaseSettings::margin` is
  /// already subtracted.
  TimePoint held_until;
  /// Whether the previous holder released the lease, or there was none.
  bool after_release = false;
};

/// A fenced lease on one key of the store, written by compare-and-swap. Clocks
/// of different instances are never compared. A contender takes the lease over
/// only after it has seen the record unchanged for the record's duration plus
/// the margin, measured on its own clock. A holder stops by its own clock, at
/// the duration less the margin after it began to send its last write. Not
/// thread-safe.
class Lease {
 public:
  /// Preconditions: references outlive this object; `settings.margin` is less
  /// than `settings.duration`.
  Lease(const LeaseSettings& settings, const InstanceId& self,
        Incarnation incarnation, KeyValueStore& store, const Clock& clock,
        RandomSource& random);

  /// Tries to acquire the lease if it is free or expired; if this instance is
  /// the holder, renews the lease when that is due. Makes at most two blocking
  /// store calls. To be called about every `renew_interval` or more often.
  void Step();
  /// Releases the lease for a planned stop. This object no longer holds the
  /// lease afterwards, even if the store cannot be reached. Precondition: no
  /// order of this holder is in flight.
  void Release();
  /// Returns the state of the lease now, by the clock.
  LeaseView View() const;

 private:
  /// A write to the record.
  struct PendingWrite {
    LeaseRecord record;
    /// When the call of the store was started.
    TimePoint sent_at;
    /// Same as `LeaseView::after_release`.
    bool after_release = false;
  };

  /// Reads the record from the store. Returns false if the read failed.
  bool RefreshRecord();
  /// Reads back whether the write in `pending_` was applied.
  void ResolvePending();
  void Renew();
  /// Writes a record with this instance as the holder if the lease is free,
  /// expired or this instance's own. `now` is the time before the record was
  /// read.
  void TryAcquire(TimePoint now);
  void Write(PendingWrite write);
  /// Updates the view after `write` was applied by the store.
  void ApplyWrite(const PendingWrite& write);
  bool IsHeldAt(TimePoint now) const;

  const LeaseSettings settings_;
  const InstanceId self_;
  const Incarnation incarnation_;
  KeyValueStore& store_;
  const Clock& clock_;
  RandomSource& random_;

  /// The record as last read; nothing if the key was absent.
  std::optional<LeaseRecord> record_;
  /// The index of that record.
  StoreIndex record_index_;
  /// When a record with that index was first read.
  TimePoint unchanged_since_;
  /// The last write, if its outcome is unknown because its response was lost.
  std::optional<PendingWrite> pending_;
  /// Whether this object was the last to acquire the lease, as far as it has
  /// read. The lease may have expired since.
  bool is_holder_ = false;
  /// The state since the last acquisition; `View` computes `is_held`.
  LeaseView view_;
  /// When to renew the lease.
  TimePoint renew_at_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_LEASE_H_
