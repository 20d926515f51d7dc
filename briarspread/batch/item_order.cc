#include "briarspread/batch/item_order.h"

#include <algorithm>

namespace briarspread::batch {

bool RunsBefore(const WaitingItem& a, const WaitingItem& b) {
  if (a.due != b.due) return a.due < b.due;
  if (a.is_carried != b.is_carried) return a.is_carried;
  return a.remaining_tokens > b.remaining_tokens;
}

std::optional<std::size_t> ChooseNext(const std::vector<WaitingItem>& waiting) {
  if (waiting.empty()) return std::nullopt;
  const auto it = std::min_element(waiting.begin(), waiting.end(), RunsBefore);
  return static_cast<std::size_t>(it - waiting.begin());
}

}  // namespace briarspread::batch
