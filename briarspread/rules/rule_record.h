#ifndef BRIARSPREAD_RULES_RULE_RECORD_H_
#define BRIARSPREAD_RULES_RULE_RECORD_H_

#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/rules/line_edit.h"

namespace briarspread {

/// An accepted change of the rules.
struct RuleChange {
  /// The revision that the change created.
  Revision revision;
  /// The id of the proposal, which finds the change again after a lost answer.
  OperationId operation;
  /// The operator who proposed the change.
  std::string who;
  /// Time of the change by the clock of the operator's machine, since the Unix
  /// epoch.
  milliseconds when{0};
  /// The edit from the previous revision's text.
  LineEdit edit;

  bool operator==(const RuleChange&) const = default;
};

/// The head record. The compare-and-swap of its key alone decides which changes
/// are accepted. It holds the changes since the last snapshot.
struct RuleHead {
  /// The last accepted revision; zero if there is none.
  Revision revision{0};
  /// The revision of the last snapshot; zero if there is none.
  Revision snapshot{0};
  /// The changes after the snapshot, oldest first; the last one created
  /// `revision`.
  std::vector<RuleChange> changes;

  bool operator==(const RuleHead&) const = default;
};

/// The whole text at one revision. Immutable once written.
struct RuleSnapshot {
  /// The revision of the text.
  Revision revision;
  /// The text in the format of the operators' file.
  std::string text;

  bool operator==(const RuleSnapshot&) const = default;
};

/// The changes between two snapshots. Immutable once written.
struct RuleSegment {
  /// The revision of the last change, for which there is a snapshot too.
  Revision last;
  /// The last revisions of the earlier segments that are kept, oldest first.
  std::vector<Revision> older;
  /// The changes, oldest first.
  std::vector<RuleChange> changes;

  bool operator==(const RuleSegment&) const = default;
};

/// Return a record as JSON text. Thread-safe.
std::string FormatRecord(const RuleHead& head);
std::string FormatRecord(const RuleSnapshot& snapshot);
std::string FormatRecord(const RuleSegment& segment);

/// Parse a record. Fail with `kInternal` if the text is not a valid record of
/// the kind. Thread-safe.
Result<RuleHead> ParseRuleHead(const std::string& text);
Result<RuleSnapshot> ParseRuleSnapshot(const std::string& text);
Result<RuleSegment> ParseRuleSegment(const std::string& text);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_RECORD_H_
