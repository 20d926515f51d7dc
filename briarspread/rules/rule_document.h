#ifndef BRIARSPREAD_RULES_RULE_DOCUMENT_H_
#define BRIARSPREAD_RULES_RULE_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace briarspread {

/// Maximum size of a text of rules, in bytes. A change that replaces every line
/// still fits into one value of the platform's key-value service.
inline constexpr std::size_t kMaxRulesBytes = 262'144;
/// Maximum length of a line, in bytes.
inline constexpr std::size_t kMaxRuleLineBytes = 1000;
/// Maximum number of rules in one text.
inline constexpr std::size_t kMaxRules = 4000;
/// Maximum number of errors reported for one text.
inline constexpr std::size_t kMaxRuleErrors = 50;

/// An error in a line of the operators' file.
struct RuleError {
  /// The line number, counted from 1.
  std::size_t line = 0;
  /// The column in bytes, counted from 1.
  std::size_t column = 0;
  /// The text found at that place.
  std::string found;
  /// Description of what is allowed at that place.
  std::string allowed;

  bool operator==(const RuleError&) const = default;
};

/// Returns the error as one readable line: its place, the text found and what
/// is allowed. Thread-safe.
std::string Describe(const RuleError& error);

/// One `name=value` of a rule line.
struct RuleArgument {
  /// The text before the equals sign.
  std::string name;
  /// The text after the equals sign; not empty.
  std::string value;
  /// The column of the value's first byte, counted from 1.
  std::size_t column = 0;
};

/// One rule as written in the file, not yet checked against its kind.
struct RuleLine {
  /// The line number, counted from 1.
  std::size_t number = 0;
  /// The column of the kind's first byte, counted from 1.
  std::size_t column = 0;
  /// The kind of the rule: the first word of the line.
  std::string kind;
  /// The words after the kind, in order; their names are unique.
  std::vector<RuleArgument> arguments;
  /// The comment at the end of the line: the name of who asked for the rule.
  std::string who;
  /// The whole line, without surrounding whitespace and line end.
  std::string text;
  /// The blank and comment lines directly above; they move with the rule.
  std::vector<std::string> leading;

  /// Returns the argument called `name`, or null. Thread-safe.
  const RuleArgument* Find(std::string_view name) const;
};

/// The operators' file, split into rules.
struct RuleDocument {
  /// The rules, in the order of the file.
  std::vector<RuleLine> rules;
  /// The blank and comment lines after the last rule.
  std::vector<std::string> trailing;
};

/// Splits a text of arbitrary bytes into its rules. Appends the errors found to
/// `errors`, up to a size of `kMaxRuleErrors`. Thread-safe.
RuleDocument ReadDocument(std::string_view text,
                          std::vector<RuleError>& errors);

/// Returns the document as text, from which `ReadDocument` reads the same
/// rules. Thread-safe.
std::string FormatDocument(const RuleDocument& document);

/// Returns one rule in normal form: `kind name=value ... # who`. Thread-safe.
std::string FormatRule(const RuleLine& rule);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_DOCUMENT_H_
