#ifndef BRIARSPREAD_BATCH_ITEM_ORDER_H_
#define BRIARSPREAD_BATCH_ITEM_ORDER_H_

#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// An item that waits for an engine, as the order sees it.
struct WaitingItem {
  /// When its job's results are due.
  TimePoint due{};
  /// Whether its group is among those that the trainer waits for in any case.
  bool is_carried = false;
  /// Tokens still to be made; a guess.
  std::uint64_t remaining_tokens = 0;
};

/// Decides which waiting item runs next. Answers the load of a step whose items
/// need more slots than there are, with a few items many times as long as the
/// rest: the jobs that are due first go first; in a job the groups that the
/// trainer waits for in any case, then the longest items, since an item that
/// starts last ends last. Thread-safe.
bool RunsBefore(const WaitingItem& a, const WaitingItem& b);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ITEM_ORDER_H_
