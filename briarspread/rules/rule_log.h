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
  /// Prefix of the keys of all records; the key of the head is the prefix
  /// itself.
  std::string key_prefix = "briarspread/rules";
  /// Maximum number of changes in the head; a further one makes a snapshot.
  /// Measured with bench/rules_bench, see docs/design/rules.md.
  std::size_t max_head_changes = 16;
  /// Size of the head above which a snapshot is written, in bytes.
  std::size_t max_head_bytes = 131'072;
  /// Number of segments kept for the history.
  std::size_t kept_segments = 4000;
  /// Number of snapshots kept besides the current one, for readers that have
  /// read an older head.
  std::size_t kept_snapshots = 2;
};

/// The head record as read from the store.
struct StoredHead {
  /// The record; its revision is zero if there is none in the store.
  RuleHead head;
  /// The store index of the key.
  StoreIndex index;
};

/// A text of rules and its revision.
struct RuleText {
  /// The revision; zero if there are no rules yet.
  Revision revision{0};
  /// The text in the format of the operators' file.
  std::string text;

  bool operator==(const RuleText&) const = default;
};

/// Reads and writes the records of the rules in the store: the head, snapshots,
/// and segments of older changes. A change is accepted solely by the
/// compare-and-swap of the head. Snapshots and segments are written before the
/// head that refers to them and are immutable, so a reader never sees an
/// incomplete one.
/// Thread-safe if the store is. The methods block while they call the store.
class RuleLog {
 public:
  /// Precondition: `store` outlives this object.
  RuleLog(const RuleLogSettings& settings, KeyValueStore& store);

  /// Reads the head, with one store call.
  Result<StoredHead> ReadHead();
  /// Waits up to `wait` for a head whose index is above `after`, with one store
  /// call.
  Result<StoredHead> WatchHead(StoreIndex after, milliseconds wait);

  /// Returns the text at the head's revision. Starts from `known`, without a
  /// store call, if the head has all changes since its revision; otherwise
  /// reads the snapshot. Fails with `kStale` if the head is so old that its
  /// snapshot was deleted.
  Result<RuleText> ReadText(const RuleHead& head, const RuleText& known);

  /// Calls `visit` with each change after the revision `oldest`, newest first,
  /// until it returns false. Fails with `kNotFound` if a needed part of the
  /// history was deleted. Makes one store call per segment.
  Status VisitNewestFirst(const RuleHead& head, Revision oldest,
                          const std::function<bool(const RuleChange&)>& visit);

  /// Returns the head with `change` added, without writing it. If the head
  /// would be too large, first writes a snapshot and a segment of its changes;
  /// `text` is the text before the change.
  /// Precondition: the change's revision is the head's plus one.
  Result<RuleHead> Append(const RuleHead& head, const std::string& text,
                          const RuleChange& change);

  /// Writes the head if the index of its key is `expected`, with one store
  /// call. Fails with `kInvalidArgument` if it is too large for the store.
  Result<SwapOutcome> WriteHead(const RuleHead& head, StoreIndex expected);

 private:
  std::string SnapshotKey(Revision revision) const;
  std::string SegmentKey(Revision last) const;
  Result<RuleSegment> ReadSegment(Revision last);
  Status Compact(const RuleHead& head, const std::string& text);
  Status WriteOnce(const std::string& key, const std::string& value);
  void DropOldest(RuleSegment& segment);
  void DeleteKey(const std::string& key);

  const RuleLogSettings settings_;
  /// The store that holds the records.
  KeyValueStore& store_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_LOG_H_
