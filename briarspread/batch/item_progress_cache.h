#ifndef BRIARSPREAD_BATCH_ITEM_PROGRESS_CACHE_H_
#define BRIARSPREAD_BATCH_ITEM_PROGRESS_CACHE_H_

#include <deque>
#include <map>
#include <optional>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"

namespace briarspread::batch {

/// Caches the text of items that were unfinished when their job ended, since a
/// later job of the same trainer may request the same items again. Evicts the
/// oldest entries first. Not thread-safe.
class ItemProgressCache final {
 public:
  /// `max_bytes` is the maximum size of all cached texts.
  explicit ItemProgressCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Caches the text of an item in place of an earlier one; ignored if the item
  /// has no events or its text is larger than the cache.
  void Put(const ItemSpec& item, const ItemProgress& progress);
  /// Removes and returns the text of an item; nothing if none is cached, or if
  /// the cached text belongs to another request with the same id.
  std::optional<ItemProgress> Take(const ItemSpec& item);

  std::size_t bytes() const { return bytes_; }

 private:
  struct Kept {
    /// Hash of the path, headers and body of the request that produced the
    /// text.
    std::uint64_t request_hash = 0;
    ItemProgress progress;
  };

  void Drop(const ItemId& id);

  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<ItemId, Kept> kept_;
  /// Oldest first. May contain ids whose entry was removed.
  std::deque<ItemId> order_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ITEM_PROGRESS_CACHE_H_
