#ifndef BRIARSPREAD_RULES_RULE_PARSER_H_
#define BRIARSPREAD_RULES_RULE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// What is wrong with a line of the operators' file.
struct RuleError {
  /// Counted from 1.
  std::size_t line = 0;
  /// Counted from 1.
  std::size_t column = 0;
  /// The text found there.
  std::string found;
  /// What is allowed there.
  std::string allowed;
};

/// Parses the operators' file. A rule is one line:
/// `kind name=value ... # who asked for it`. Blank lines and lines that start
/// with `#` carry no rule. All or nothing: any error refuses the whole text.
/// Thread-safe.
std::variant<RuleSet, std::vector<RuleError>> ParseRules(std::string_view text);

/// One line for a person: place, what was found, what is allowed. Thread-safe.
std::string Describe(const RuleError& error);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_PARSER_H_
