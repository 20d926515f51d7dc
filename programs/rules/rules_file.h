#ifndef PROGRAMS_RULES_RULES_FILE_H_
#define PROGRAMS_RULES_RULES_FILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarspread/rules/rule_log.h"

namespace briarspread {

/// An operator's file: rules and the revision that was edited.
struct RulesFile {
  /// The revision in the first line, `# revision: N`; empty without such a
  /// line.
  std::optional<Revision> base;
  /// The file's text with the revision line blanked, so that line numbers match
  /// those of the file.
  std::string text;
  /// The file's text without the revision line, which is what the store holds.
  std::string stored_text;
};

/// Parses the text of a file, which may hold any bytes. Thread-safe.
RulesFile ReadRulesFile(std::string_view text);

/// Returns the text of a file: the revision line, followed by the rules.
/// Thread-safe.
std::string FormatRulesFile(const RuleText& rules);

}  // namespace briarspread

#endif  // PROGRAMS_RULES_RULES_FILE_H_
