#include "briarspread/batch/item_order.h"

namespace briarspread::batch {

bool RunsBefore(const WaitingItem& a, const WaitingItem& b) {
  if (a.due != b.due) return a.due < b.due;
  if (a.has_restored_progress != b.has_restored_progress)
    return a.has_restored_progress;
  return a.remaining_tokens > b.remaining_tokens;
}

}  // namespace briarspread::batch
