#ifndef PROGRAMS_RULES_RULES_FILE_H_
#define PROGRAMS_RULES_RULES_FILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarspread/rules/rule_log.h"

namespace briarspread {

/// An operator's file: rules, and from which revision they were edited.
struct RulesFile {
  /// What the first line `# revision: N` says; empty where there is none.
  std::optional<Revision> base;
  /// The file with that line left blank, so that line numbers stay.
  std::string text;
  /// The rules without it, as they are stored.
  std::string stored_text;
};

/// Reads a file's text. Takes any bytes. Thread-safe.
RulesFile ReadRulesFile(std::string_view text);

/// The file that `show` prints: the revision's line, then its text.
/// Thread-safe.
std::string FormatRulesFile(const RuleText& rules);

}  // namespace briarspread

#endif  // PROGRAMS_RULES_RULES_FILE_H_
