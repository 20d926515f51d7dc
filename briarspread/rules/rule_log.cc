#include "briarspread/rules/rule_log.h"

#include <cassert>
#include <utility>

namespace briarspread {
namespace {

Error CorruptLog() {
  return Error{ErrorCode::kInternal, Verdict::kNotRun,
               "a change of the rules in the store does not fit its text"};
}

Result<StoredHead> HeadFrom(const Result<std::optional<KeyValue>>& read) {
  if (!IsOk(read)) return ErrorOf(read);
  if (!ValueOf(read).has_value()) return StoredHead{};
  const KeyValue& stored = *ValueOf(read);
  auto head = ParseRuleHead(stored.value);
  if (!IsOk(head)) return ErrorOf(head);
  return StoredHead{std::move(ValueOf(head)), stored.index};
}

/// Applies the head's changes after the revision of `text` to it.
Result<RuleText> Replay(RuleText text, const RuleHead& head) {
  for (const RuleChange& change : head.changes) {
    if (change.revision <= text.revision) continue;
    auto edited = ApplyEdit(text.text, change.edit);
    if (!edited.has_value()) return CorruptLog();
    text = RuleText{change.revision, std::move(*edited)};
  }
  return text;
}

}  // namespace

RuleLog::RuleLog(const RuleLogSettings& settings, KeyValueStore& store)
    : settings_(settings), store_(store) {}

std::string RuleLog::SnapshotKey(Revision revision) const {
  return settings_.key_prefix + "-snapshot/" + std::to_string(revision.value());
}

std::string RuleLog::SegmentKey(Revision last) const {
  return settings_.key_prefix + "-history/" + std::to_string(last.value());
}

Result<StoredHead> RuleLog::ReadHead() {
  return HeadFrom(store_.Get(settings_.key_prefix));
}

Result<StoredHead> RuleLog::WatchHead(StoreIndex after, milliseconds wait) {
  return HeadFrom(store_.Watch(settings_.key_prefix, after, wait));
}

Result<RuleText> RuleLog::ReadText(const RuleHead& head,
                                   const RuleText& known) {
  if (known.revision >= head.snapshot && known.revision <= head.revision) {
    return Replay(known, head);
  }
  if (head.snapshot == Revision(0)) return Replay(RuleText{}, head);
  const auto read = store_.Get(SnapshotKey(head.snapshot));
  if (!IsOk(read)) return ErrorOf(read);
  if (!ValueOf(read).has_value()) {
    return Error{ErrorCode::kStale, Verdict::kNotRun,
                 "the snapshot of the rules was replaced meanwhile"};
  }
  auto snapshot = ParseRuleSnapshot(ValueOf(read)->value);
  if (!IsOk(snapshot)) return ErrorOf(snapshot);
  return Replay(RuleText{head.snapshot, std::move(ValueOf(snapshot).text)},
                head);
}

Result<RuleSegment> RuleLog::ReadSegment(Revision last) {
  const auto read = store_.Get(SegmentKey(last));
  if (!IsOk(read)) return ErrorOf(read);
  if (!ValueOf(read).has_value()) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun,
                 "the history up to revision " + std::to_string(last.value()) +
                     " is no longer kept"};
  }
  return ParseRuleSegment(ValueOf(read)->value);
}

Status RuleLog::VisitNewestFirst(
    const RuleHead& head, Revision oldest,
    const std::function<bool(const RuleChange&)>& visit) {
  std::vector<RuleChange> changes = head.changes;
  Revision before = head.snapshot;
  while (true) {
    for (auto it = changes.rbegin(); it != changes.rend(); ++it) {
      if (it->revision <= oldest || !visit(*it)) return OkStatus();
    }
    if (before <= oldest) return OkStatus();
    auto segment = ReadSegment(before);
    if (!IsOk(segment)) return ErrorOf(segment);
    changes = std::move(ValueOf(segment).changes);
    before = Revision(changes.front().revision.value() - 1);
  }
}

Result<RuleHead> RuleLog::Append(const RuleHead& head, const std::string& text,
                                 const RuleChange& change) {
  assert(change.revision.value() == head.revision.value() + 1);
  RuleHead next = head;
  next.revision = change.revision;
  next.changes.push_back(change);
  const bool too_large = next.changes.size() > settings_.max_head_changes ||
                         FormatRecord(next).size() > settings_.max_head_bytes;
  if (!too_large || head.changes.empty()) return next;
  const Status compacted = Compact(head, text);
  if (!IsOk(compacted)) return ErrorOf(compacted);
  next.snapshot = head.revision;
  next.changes = {change};
  return next;
}

Result<SwapOutcome> RuleLog::WriteHead(const RuleHead& head,
                                       StoreIndex expected) {
  const std::string value = FormatRecord(head);
  if (value.size() > kMaxStoreValueBytes) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 "the change is too large for one value of the store; make it "
                 "in two steps"};
  }
  return store_.CompareAndSwap(settings_.key_prefix, value, expected);
}

/// Writes a snapshot of `text` and a segment of the head's changes.
Status RuleLog::Compact(const RuleHead& head, const std::string& text) {
  RuleSegment segment{head.revision, {}, head.changes};
  if (head.snapshot > Revision(0)) {
    auto previous = ReadSegment(head.snapshot);
    if (!IsOk(previous)) return ErrorOf(previous);
    segment.older = std::move(ValueOf(previous).older);
    segment.older.push_back(head.snapshot);
  }
  DropOldest(segment);
  Status written = WriteOnce(SnapshotKey(head.revision),
                             FormatRecord(RuleSnapshot{head.revision, text}));
  if (!IsOk(written)) return written;
  return WriteOnce(SegmentKey(head.revision), FormatRecord(segment));
}

/// Writes a key that does not exist yet; succeeds too if it exists.
Status RuleLog::WriteOnce(const std::string& key, const std::string& value) {
  const auto swapped = store_.CompareAndSwap(key, value, StoreIndex(0));
  // A conflict means that another writer has written the key. The record of a
  // revision is a function of the head of that revision, so the stored value is
  // the same. The same holds for the second try after a lost answer.
  if (IsOk(swapped)) return OkStatus();
  if (ErrorOf(swapped).verdict != Verdict::kMayHaveRun) return ErrorOf(swapped);
  const auto again = store_.CompareAndSwap(key, value, StoreIndex(0));
  if (IsOk(again)) return OkStatus();
  // The head was not written, so the change cannot have been accepted.
  Error error = ErrorOf(again);
  error.verdict = Verdict::kNotRun;
  return error;
}

/// Deletes the snapshot and the segment that exceed the numbers to keep.
void RuleLog::DropOldest(RuleSegment& segment) {
  // Best effort: a key that is not deleted only takes space; nothing reads it.
  if (segment.older.size() > settings_.kept_snapshots) {
    const auto it = segment.older.end() -
                    static_cast<std::ptrdiff_t>(settings_.kept_snapshots) - 1;
    DeleteKey(SnapshotKey(*it));
  }
  if (segment.older.size() >= settings_.kept_segments) {
    DeleteKey(SegmentKey(segment.older.front()));
    segment.older.erase(segment.older.begin());
  }
}

void RuleLog::DeleteKey(const std::string& key) {
  const auto read = store_.Get(key);
  if (!IsOk(read) || !ValueOf(read).has_value()) return;
  (void)store_.Delete(key, ValueOf(read)->index);
}

}  // namespace briarspread
