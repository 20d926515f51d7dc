#include "briarspread/batch/item_progress_cache.h"

#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread::batch {
namespace {

std::uint64_t HashOf(const ItemSpec& item) {
  std::uint64_t hash = StableHash(item.path);
  for (const proxy::Header& line : item.headers) {
    hash = StableHash(line.name, hash);
    hash = StableHash(line.value, hash);
  }
  return StableHash(item.body, hash);
}

}  // namespace

void ItemProgressCache::Drop(const ItemId& id) {
  const auto it = kept_.find(id);
  if (it == kept_.end()) return;
  bytes_ -= it->second.progress.text().size();
  kept_.erase(it);
}

void ItemProgressCache::Put(const ItemSpec& item,
                            const ItemProgress& progress) {
  Drop(item.id);
  if (!progress.has_events() || progress.text().size() > max_bytes_) return;
  bytes_ += progress.text().size();
  kept_.emplace(item.id, Kept{HashOf(item), progress});
  order_.push_back(item.id);
  while (bytes_ > max_bytes_ || order_.size() > 2 * kept_.size() + 64) {
    Drop(std::exchange(order_.front(), ItemId()));
    order_.pop_front();
  }
}

std::optional<ItemProgress> ItemProgressCache::Take(const ItemSpec& item) {
  const auto it = kept_.find(item.id);
  if (it == kept_.end()) return std::nullopt;
  std::optional<ItemProgress> progress;
  if (it->second.request_hash == HashOf(item)) {
    progress = std::move(it->second.progress);
    bytes_ -= progress->text().size();
    kept_.erase(it);
  } else {
    Drop(item.id);
  }
  return progress;
}

}  // namespace briarspread::batch
