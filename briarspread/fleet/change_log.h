#ifndef BRIARSPREAD_FLEET_CHANGE_LOG_H_
#define BRIARSPREAD_FLEET_CHANGE_LOG_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "briarspread/core/async_store.h"

namespace briarspread {

/// The keys under a prefix as last reported by a watch, and the most recent
/// changes to them, for followers that read from this instance instead of the
/// store. Not thread-safe.
class ChangeLog final {
 public:
  /// `max_changes` bounds the changes held; the oldest are evicted first.
  explicit ChangeLog(std::size_t max_changes) : max_changes_(max_changes) {}

  void ApplyListing(const StoreListing& listing);
  void ApplyChanges(const StoreChanges& changes);

  /// Whether at least one listing was applied.
  bool has_listed() const { return has_listed_; }
  /// The store index up to which all changes were applied.
  StoreIndex store_index() const { return store_index_; }
  /// Returns all current keys. The listing's index is `store_index()`.
  StoreListing Listing() const;
  /// Returns the changes after an index; nothing if some of them were evicted.
  std::optional<StoreChanges> ChangesAfter(StoreIndex after) const;

 private:
  const std::size_t max_changes_;
  bool has_listed_ = false;
  StoreIndex store_index_;
  /// Changes up to this index are not held.
  StoreIndex evicted_up_to_;
  std::map<std::string, KeyValue> items_;
  std::deque<StoreChange> changes_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_CHANGE_LOG_H_
