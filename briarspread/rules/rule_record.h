#ifndef BRIARSPREAD_RULES_RULE_RECORD_H_
#define BRIARSPREAD_RULES_RULE_RECORD_H_

#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/rules/line_edit.h"

namespace briarspread {

/// One accepted change of the rules.
struct RuleChange {
  /// The revision that it made.
  Revision revision;
  /// The attempt that wrote it.
  OperationId operation;
  /// Who asked.
  std::string who;
  /// When, by the clock of the operator's machine, since the Unix epoch.
  milliseconds when{0};
  /// What it changed.
  LineEdit edit;

  bool operator==(const RuleChange&) const = default;
};

/// The head record: the one key that decides which changes are accepted.
/// It holds the changes since the last snapshot.
struct RuleHead {
  /// The last accepted revision; zero where there is none.
  Revision revision{0};
  /// The revision of the last snapshot; zero where there is none.
  Revision snapshot{0};
  /// The changes after the snapshot, oldest first; the last one made
  /// `revision`.
  std::vector<RuleChange> changes;

  bool operator==(const RuleHead&) const = default;
};

/// The whole text at one revision. Never changed once written.
struct RuleSnapshot {
  /// The revision.
  Revision revision;
  /// Its text.
  std::string text;

  bool operator==(const RuleSnapshot&) const = default;
};

/// The changes between two snapshots. Never changed once written.
struct RuleSegment {
  /// The revision of the last change, which is that of a snapshot too.
  Revision last;
  /// The last revisions of the segments before this one that are kept, oldest
  /// first.
  std::vector<Revision> older;
  /// The changes, oldest first.
  std::vector<RuleChange> changes;

  bool operator==(const RuleSegment&) const = default;
};

/// The records as JSON text. Thread-safe.
std::string FormatRecord(const RuleHead& head);
std::string FormatRecord(const RuleSnapshot& snapshot);
std::string FormatRecord(const RuleSegment& segment);

/// Reads a record. Fails on anything that its `FormatRecord` does not write.
/// Thread-safe.
Result<RuleHead> ParseRuleHead(const std::string& text);
Result<RuleSnapshot> ParseRuleSnapshot(const std::string& text);
Result<RuleSegment> ParseRuleSegment(const std::string& text);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_RECORD_H_
