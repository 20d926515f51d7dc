#ifndef BRIARSPREAD_BATCH_ITEM_ORDER_H_
#define BRIARSPREAD_BATCH_ITEM_ORDER_H_

#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// Properties of a waiting item that decide its order.
struct WaitingItem {
  /// When its job's results are due.
  TimePoint due{};
  /// Whether the item has text to go on with. Only engines of one software
  /// version may do so, and where the text is of an earlier job, the trainer
  /// waits for its group in any case.
  bool is_resumed = false;
  /// Estimate of the tokens that are still to be generated.
  std::uint64_t remaining_tokens = 0;
};

/// Returns whether item `a` is placed before item `b`. Jobs that are due
/// earlier go first; within a job, items that have text to go on with,
/// then the longest items, since an item that starts last ends last. Designed
/// for steps with more items than slots, in which a few items are many times
/// longer than the rest. Thread-safe.
bool RunsBefore(const WaitingItem& a, const WaitingItem& b);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ITEM_ORDER_H_
