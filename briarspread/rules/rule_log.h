#ifndef BRIARSPREAD_RULES_RULE_LOG_H_
#define BRIARSPREAD_RULES_RULE_LOG_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "briarspread/core/key_value_store.h"
#include "briarspread/rules/rule_record.h"

namespace briarspread {

/// Settings of `RuleLog`.
struct RuleLogSettings {
  /// Before the keys of all records; the head stands at the prefix itself.
  std::string key_prefix = "briarspread/rules";
  /// Changes that the head holds before a snapshot is written. Chosen by
  /// bench/rules_bench: see docs/design/rules.md.
  std::size_t max_head_changes = 16;
  /// The head's size above which a snapshot is written, in bytes.
  std::size_t max_head_bytes = 131'072;
  /// Segments of changes kept for the history.
  std::size_t kept_segments = 4000;
  /// Snapshots kept beside the current one, for readers of an older head.
  std::size_t kept_snapshots = 2;
};

/// The head record as read from the store.
struct StoredHead {
  /// The record; of revision zero where there is none.
  RuleHead head;
  /// The store's index of the key.
  StoreIndex index;
};

/// A text of rules with its revision.
struct RuleText {
  /// The revision; zero: no rules yet.
  Revision revision{0};
  /// The text.
  std::string text;

  bool operator==(const RuleText&) const = default;
};

/// The records of the rules in the store: the head, snapshots, and segments of
/// older changes. A change is accepted by the compare-and-swap of the head
/// alone. Snapshots and segments are written before the head that names them
/// and never changed, so a reader that finds one finds it whole.
/// Thread-safe where the store is; every method calls the store.
class RuleLog {
 public:
  /// Precondition: `store` outlives this object.
  RuleLog(const RuleLogSettings& settings, KeyValueStore& store);

  /// Reads the head: one call.
  Result<StoredHead> ReadHead();
  /// Waits for a head whose index is above `after`: one call.
  Result<StoredHead> WatchHead(StoreIndex after, milliseconds wait);

  /// The text at the head's revision. Starts from `known` where the head's
  /// changes reach back to it, without a call; else reads the snapshot.
  /// Fails with `kStale` where the head is so old that its snapshot is gone.
  Result<RuleText> TextOf(const RuleHead& head, const RuleText& known);

  /// Calls `visit` with each change newer than `oldest`, newest first, until it
  /// returns false. Fails with `kNotFound` where the history is not kept so
  /// far back. One call for each segment.
  Status VisitBack(const RuleHead& head, Revision oldest,
                   const std::function<bool(const RuleChange&)>& visit);

  /// The head with `change` added. Writes a snapshot and a segment first where
  /// the head has grown too large; `text` is the text before the change.
  /// Precondition: the change's revision is the head's plus one.
  Result<RuleHead> Append(const RuleHead& head, const std::string& text,
                          const RuleChange& change);

  /// Writes the head if its key's index is `expected`: one call.
  Result<SwapOutcome> WriteHead(const RuleHead& head, StoreIndex expected);

 private:
  std::string SnapshotKey(Revision revision) const;
  std::string SegmentKey(Revision last) const;
  Result<RuleSegment> ReadSegment(Revision last);
  Status Compact(const RuleHead& head, const std::string& text);
  Status WriteOnce(const std::string& key, const std::string& value);
  void DropOldest(RuleSegment& segment);
  void DeleteKey(const std::string& key);

  /// As given.
  const RuleLogSettings settings_;
  /// Holds the records.
  KeyValueStore& store_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_LOG_H_
