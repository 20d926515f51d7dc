#include "briarspread/batch/item_order.h"

namespace briarspread::batch {

bool RunsBefore(const WaitingItem& a, const WaitingItem& b) {
  if (a.due != b.due) return a.due < b.due;
  if (a.is_resumed != b.is_resumed) return a.is_resumed;
  return a.remaining_tokens > b.remaining_tokens;
}

}  // namespace briarspread::batch
