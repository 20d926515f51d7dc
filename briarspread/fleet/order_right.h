#ifndef BRIARSPREAD_FLEET_ORDER_RIGHT_H_
#define BRIARSPREAD_FLEET_ORDER_RIGHT_H_

#include <optional>
#include <string>

#include "briarspread/fleet/instance_registry.h"
#include "briarspread/fleet/order_record.h"

namespace briarspread {

/// Settings of the right to order upstreams.
struct OrderRightSettings {
  /// Two holders' orders are at least this far apart.
  milliseconds lease{3000};
  /// How long the holder relies on the store's last confirmation, counted from
  /// before it was asked for.
  milliseconds confidence{1500};
  /// How old a confirmation may be before the holder asks for another.
  milliseconds confirm_after{700};
  /// What a new holder waits beyond the time in which the one before may still
  /// have sent, for orders under way.
  milliseconds margin{300};
  /// Contenders come one after the other, this far apart.
  milliseconds stagger{400};
};

/// The right of one instance to send orders to upstreams. The store's record
/// names the holder; its revision is the fencing number. A holder relies on
/// the store's confirmation for a short time only, counted on a clock that goes
/// on during suspension. A holder that is no longer registered is replaced; the
/// new one waits until the one before can no longer send. Until it has sent,
/// the machine that sent last takes the right back at once, for its own orders
/// alone came before. Upstreams need not check the fencing number. Loop's
/// thread only.
class OrderRight final {
 public:
  /// Precondition: references outlive this object.
  OrderRight(AsyncStore& store, const InstanceRegistry& registry,
             const OrderRightSettings& settings, const Clock& clock);

  /// Contends for the right where nobody holds it. To be called on each change
  /// of the registry, and every 200 ms or so.
  void Step();
  /// Whether this instance is the holder, as far as it knows.
  bool is_holder() const { return fencing_.value() != 0; }
  /// Whether an order may be sent now. Asks the store where the last
  /// confirmation grows old, so a caller tries again soon.
  bool MaySend();
  /// The fencing number. Precondition: `is_holder()`.
  FencingNumber fencing() const { return fencing_; }
  /// An order was sent.
  void NoteSent();
  /// An upstream knows of a later holder: asks the store.
  void Doubt();
  /// Gives the right up, for a planned stop, and tells the next holder how long
  /// it must wait still.
  void Release();

 private:
  /// How this instance may take the right after a record.
  struct Claim {
    /// Before others may have tried, or in turn with them.
    bool is_at_once = false;
    Duration wait{0};
    std::optional<InstanceId> last_sender;
  };

  /// What lies between two machines' orders.
  Duration BetweenHolders() const { return settings_.lease + settings_.margin; }
  /// What a new holder waits after another machine that went without a word.
  Duration TakeoverWait() const {
    return BetweenHolders() + settings_.confidence;
  }
  /// How the right may be claimed; nothing while its holder is registered.
  std::optional<Claim> ClaimAfter(const std::string& record) const;
  /// Notes that another's record is seen, or none.
  void CheckHeld(const std::optional<KeyValue>& record);
  /// Whether it is this instance's turn among those that contend.
  bool IsOwnTurn();
  std::size_t Rank() const;
  /// Takes the record, which must still be at `expected`; zero for absent.
  void Contend(StoreIndex expected, Claim claim);
  void OnContended(const Result<StoreOutcome>& outcome, TimePoint asked,
                   const Claim& claim);
  void TakeRecord(StoreIndex index, TimePoint asked, const Claim& claim);
  void Confirm();
  void Lose();

  AsyncStore& store_;
  const InstanceRegistry& registry_;
  const OrderRightSettings settings_;
  const Clock& clock_;
  /// The record's index while this instance holds the right.
  FencingNumber fencing_;
  /// Until when no order may be sent after acquiring.
  TimePoint wait_until_{};
  /// Whether the record says that nothing is left to be waited.
  bool is_settled_ = false;
  /// Who sent the latest order, while this holder has sent none.
  std::optional<InstanceId> last_sender_;
  /// When the last order was sent; the clock's zero for never.
  TimePoint last_sent_{};
  /// When the last confirmation was asked for.
  TimePoint confirmed_{};
  /// Since when no registered holder was seen; the clock's zero for never.
  TimePoint missing_since_{};
  bool is_calling_ = false;
  bool was_released_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_ORDER_RIGHT_H_
