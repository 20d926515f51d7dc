#include "briarspread/fleet/change_log.h"

#include <algorithm>

namespace briarspread {

void ChangeLog::ApplyListing(const StoreListing& listing) {
  items_.clear();
  changes_.clear();
  for (const KeyValue& item : listing.items) items_[item.key] = item;
  has_listed_ = true;
  store_index_ = listing.store_index;
  evicted_up_to_ = listing.store_index;
}

void ChangeLog::ApplyChanges(const StoreChanges& changes) {
  for (const StoreChange& change : changes.changes) {
    if (change.value.has_value()) {
      items_[change.key] = KeyValue{change.key, *change.value, change.index};
    } else {
      items_.erase(change.key);
    }
    changes_.push_back(change);
  }
  store_index_ = std::max(store_index_, changes.store_index);
  while (changes_.size() > max_changes_) {
    evicted_up_to_ = changes_.front().index;
    changes_.pop_front();
  }
}

StoreListing ChangeLog::Listing() const {
  StoreListing listing;
  listing.store_index = store_index_;
  for (const auto& [key, item] : items_) listing.items.push_back(item);
  return listing;
}

std::optional<StoreChanges> ChangeLog::ChangesAfter(StoreIndex after) const {
  if (after < evicted_up_to_) return std::nullopt;
  StoreChanges changes;
  changes.store_index = store_index_;
  for (const StoreChange& change : changes_) {
    if (change.index > after) changes.changes.push_back(change);
  }
  return changes;
}

}  // namespace briarspread
