#ifndef BRIARSPREAD_FLEET_ORDER_RECORD_H_
#define BRIARSPREAD_FLEET_ORDER_RECORD_H_

#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// The store's record of the right to order upstreams. It outlives the machine
/// that wrote it.
struct OrderRecord {
  /// Who holds the right; nothing once it was given up.
  std::optional<InstanceId> holder;
  /// The holder's start of its program.
  Incarnation incarnation;
  /// What the holder waits before its first order; after a right that was given
  /// up, what the next holder waits still. Zero: nothing.
  milliseconds wait{0};
  /// The machine that sent the latest order, or may have. A holder that waits
  /// has sent none yet. Nothing where no such machine is known.
  std::optional<InstanceId> last_sender;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

/// The record as text. Thread-safe.
std::string Encode(const OrderRecord& record);

/// Reads a record; nothing for malformed text. Thread-safe.
std::optional<OrderRecord> ParseOrderRecord(const std::string& text);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_ORDER_RECORD_H_
