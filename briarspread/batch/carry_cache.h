#ifndef BRIARSPREAD_BATCH_CARRY_CACHE_H_
#define BRIARSPREAD_BATCH_CARRY_CACHE_H_

#include <deque>
#include <map>
#include <optional>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"

namespace briarspread::batch {

/// Keeps the text of items whose job ended before they did: a later job of the
/// same trainer may ask for them again. The oldest go first. Not thread-safe.
class CarryCache final {
 public:
  /// `max_bytes` bounds the text held.
  explicit CarryCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Keeps an item's text. Nothing is kept of one without any.
  void Put(const ItemSpec& item, const ItemProgress& progress);
  /// Takes out the text of this very item; nothing where none is held.
  std::optional<ItemProgress> Take(const ItemSpec& item);

  std::size_t bytes() const { return bytes_; }

 private:
  struct Kept {
    /// Hash of the request that made the text.
    std::uint64_t request_hash = 0;
    ItemProgress progress;
  };

  void Drop(const ItemId& id);

  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<ItemId, Kept> kept_;
  /// Oldest first; ids that were taken out may still stand here.
  std::deque<ItemId> order_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_CARRY_CACHE_H_
