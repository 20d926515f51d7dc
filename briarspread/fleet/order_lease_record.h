#ifndef BRIARSPREAD_FLEET_ORDER_LEASE_RECORD_H_
#define BRIARSPREAD_FLEET_ORDER_LEASE_RECORD_H_

#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// The store's record of the order lease. Not attached to a store lease, so it
/// remains after the instance that wrote it has stopped.
struct OrderLeaseRecord {
  /// The instance that holds the order lease; nothing once it was released.
  std::optional<InstanceId> holder;
  /// Identifies the holder's start of the program.
  Incarnation incarnation;
  /// Time that the holder waits before its first order; in a released record,
  /// the time that the next holder has to wait. Zero for no wait.
  milliseconds wait{0};
  /// The instance that sent the latest order or may have sent it. A holder that
  /// still waits has sent none, so this is an earlier holder then. Nothing if
  /// not known.
  std::optional<InstanceId> last_sender;

  friend bool operator==(const OrderLeaseRecord&,
                         const OrderLeaseRecord&) = default;
};

/// Returns the record as JSON. Thread-safe.
std::string Encode(const OrderLeaseRecord& record);

/// Parses a record; returns nothing for malformed text. Thread-safe.
std::optional<OrderLeaseRecord> ParseOrderLeaseRecord(const std::string& text);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_ORDER_LEASE_RECORD_H_
