#ifndef BRIARSPREAD_FLEET_ORDER_LEASE_H_
#define BRIARSPREAD_FLEET_ORDER_LEASE_H_

#include <functional>
#include <optional>
#include <string>

#include "briarspread/fleet/instance_registry.h"
#include "briarspread/fleet/order_lease_record.h"

namespace briarspread {

/// Settings of the order lease.
struct OrderLeaseSettings {
  /// Minimum time between the last order of one holder and the first order of
  /// another.
  milliseconds min_order_gap{3000};
  /// How long the holder may send orders after a confirmation by the store,
  /// counted from the start of the confirming call.
  milliseconds confirmation_validity{1500};
  /// Age of the last confirmation after which the holder asks for another.
  milliseconds confirm_after{700};
  /// Time that a new holder waits in addition to `min_order_gap`, for orders of
  /// the previous holder that are in flight.
  milliseconds margin{300};
  /// Delay between the attempts of two contenders, which contend in the order
  /// of their names.
  milliseconds stagger{400};
};

/// The order lease: a fenced lease that allows one instance at a time to send
/// version-load orders to upstreams. The record in the store names the holder;
/// its index is the fencing number. A confirmation by the store is valid for a
/// short time only, measured on a clock that keeps running during suspension.
/// A holder that is no longer registered is replaced; the new holder first
/// waits until the previous one can no longer send. As long as it waits, the
/// instance that sent the latest order may take the lease back immediately,
/// because no other instance has sent an order since. Orders are therefore
/// kept apart even if upstreams do not check the fencing number. Loop's thread
/// only.
class OrderLease final {
 public:
  /// Precondition: references outlive this object, and this object outlives its
  /// calls in flight.
  OrderLease(AsyncStore& store, const InstanceRegistry& registry,
             const OrderLeaseSettings& settings, const Clock& clock);

  /// Tries to acquire the lease if it is free; if this instance is the holder,
  /// checks the watched record for a later holder. To be called on each change
  /// of the registry and about every 200 ms.
  void Step();
  /// Whether this instance believes itself to be the holder. Use `MaySend`
  /// before sending an order.
  bool is_holder() const { return fencing_.value() != 0; }
  /// Whether an order may be sent now. Asks the store for another confirmation
  /// if the last one is older than `confirm_after`, so a caller that got false
  /// can soon try again.
  bool MaySend();
  /// The fencing number. Precondition: `is_holder()`.
  FencingNumber fencing() const { return fencing_; }
  /// Records that an order was sent now.
  void RecordOrderSent();
  /// Asks the store to confirm the lease again. Called when an upstream has
  /// seen a higher fencing number.
  void Reconfirm();
  /// Sets whether this instance can send orders at all. While it cannot, it
  /// releases the lease, and does not contend for it.
  void SetEligible(bool is_eligible) { is_eligible_ = is_eligible; }
  /// Releases the lease for a planned stop, recording how long the next holder
  /// has to wait. This object never acquires the lease again.
  void Release();

 private:
  /// How this instance may acquire the lease, given the current record.
  struct AcquisitionPlan {
    /// Whether to try immediately instead of after the stagger delay.
    bool skips_stagger = false;
    /// Time between acquiring the lease and the first order.
    Duration wait{0};
    std::optional<InstanceId> last_sender;
  };

  /// Time between the last order of a holder that released the lease and the
  /// first order of the next one.
  Duration HandoverGap() const {
    return settings_.min_order_gap + settings_.margin;
  }
  /// Time that a new holder waits if the previous one did not release the lease
  /// and may have sent orders until its last confirmation became invalid.
  Duration TakeoverWait() const {
    return HandoverGap() + settings_.confirmation_validity;
  }
  /// Returns how the lease may be acquired; nothing while another instance that
  /// is registered holds it.
  std::optional<AcquisitionPlan> PlanAcquisition(
      const std::string& record) const;
  /// Steps down if the watched record is later than this instance's.
  void StepDownIfReplaced(const std::optional<KeyValue>& lease);
  /// Whether the lease has been free for this instance's stagger delay.
  bool HasStaggerElapsed();
  /// Returns the number of peers whose names sort before this instance's.
  std::size_t Rank() const;
  /// Writes a record with this instance as the holder, provided that the
  /// current record's index is `expected`; zero for no record.
  void TryAcquire(StoreIndex expected, AcquisitionPlan plan);
  void OnTryAcquireDone(const Result<StoreOutcome>& outcome, TimePoint asked_at,
                        const AcquisitionPlan& plan);
  /// Makes this instance the holder under the record written at `index`.
  void BecomeHolder(StoreIndex index, TimePoint asked_at,
                    const AcquisitionPlan& plan);
  /// Reads the record from the store; steps down if it has changed.
  void Confirm();
  void StepDown();
  /// Writes a record without a holder, with the time that the next one has to
  /// wait. Precondition: this instance is the holder.
  void WriteRelease(std::function<void(const Result<StoreOutcome>&)> done);
  /// Releases the lease of an instance that cannot send orders. Tried again by
  /// the next step if the store does not confirm.
  void Yield();

  AsyncStore& store_;
  const InstanceRegistry& registry_;
  const OrderLeaseSettings settings_;
  const Clock& clock_;
  /// The record's index while this instance holds the lease; zero otherwise.
  FencingNumber fencing_;
  /// No order may be sent before this time.
  TimePoint wait_until_{};
  /// Whether the record in the store has a wait of zero. Orders may be sent
  /// only then.
  bool is_wait_cleared_ = false;
  /// The record's `last_sender` while this instance is the holder.
  std::optional<InstanceId> last_sender_;
  /// When the last order was sent; the clock's zero for never.
  TimePoint last_sent_at_{};
  /// When the call that last confirmed the lease was started.
  TimePoint confirmed_at_{};
  /// Since when the lease has been free, or the time of this instance's last
  /// attempt if that is later; the clock's zero while the lease is held.
  TimePoint free_since_{};
  bool is_call_in_flight_ = false;
  bool was_released_ = false;
  bool is_eligible_ = true;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_ORDER_LEASE_H_
