#ifndef BRIARSPREAD_FLEET_CHANGE_LOG_H_
#define BRIARSPREAD_FLEET_CHANGE_LOG_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "briarspread/core/async_store.h"

namespace briarspread {

/// The keys under a prefix as a watch has shown them, and its latest changes,
/// for those who follow at second hand. Not thread-safe.
class ChangeLog final {
 public:
  /// `max_changes` bounds the changes held; the oldest go first.
  explicit ChangeLog(std::size_t max_changes) : max_changes_(max_changes) {}

  void TakeListing(const StoreListing& listing);
  void TakeChanges(const StoreChanges& changes);

  /// Whether keys were listed once.
  bool has_listed() const { return has_listed_; }
  /// The store's index up to which all is known.
  StoreIndex at() const { return at_; }
  /// All keys as now known.
  StoreListing Listing() const;
  /// The changes after an index; nothing where some are no longer held.
  std::optional<StoreChanges> ChangesAfter(StoreIndex after) const;

 private:
  const std::size_t max_changes_;
  bool has_listed_ = false;
  StoreIndex at_;
  /// Changes up to here are not held.
  StoreIndex begins_after_;
  std::map<std::string, KeyValue> items_;
  std::deque<StoreChange> changes_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_CHANGE_LOG_H_
