#ifndef BRIARSPREAD_RULES_RULE_DOCUMENT_H_
#define BRIARSPREAD_RULES_RULE_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace briarspread {

/// The largest text of rules, in bytes. A change that replaces every line
/// still fits one value of the platform's key-value service.
inline constexpr std::size_t kMaxRulesBytes = 262'144;
/// The longest line, in bytes.
inline constexpr std::size_t kMaxRuleLineBytes = 1000;
/// The most rules in one text.
inline constexpr std::size_t kMaxRules = 4000;
/// The most errors reported of one text.
inline constexpr std::size_t kMaxRuleErrors = 50;

/// What is wrong with a line of the operators' file.
struct RuleError {
  /// Counted from 1.
  std::size_t line = 0;
  /// Counted from 1, in bytes.
  std::size_t column = 0;
  /// The text found there.
  std::string found;
  /// What is allowed there.
  std::string allowed;

  bool operator==(const RuleError&) const = default;
};

/// One line for a person: place, what was found, what is allowed. Thread-safe.
std::string Describe(const RuleError& error);

/// One `name=value` of a rule line.
struct RuleArgument {
  /// Before the equals sign.
  std::string name;
  /// After it; not empty.
  std::string value;
  /// Where the value starts, counted from 1.
  std::size_t column = 0;
};

/// One rule as it stands in the file; not yet checked against its kind.
struct RuleLine {
  /// Its line, counted from 1.
  std::size_t number = 0;
  /// Where its kind starts, counted from 1.
  std::size_t column = 0;
  /// The first word.
  std::string kind;
  /// The words after it, in order; no name stands twice.
  std::vector<RuleArgument> arguments;
  /// The comment at the line's end: who asked.
  std::string who;
  /// The line, without its end.
  std::string text;
  /// The blank and comment lines directly above, kept with the rule.
  std::vector<std::string> leading;

  /// The argument called `name`, or null. Thread-safe.
  const RuleArgument* Find(std::string_view name) const;
};

/// The operators' file as lines.
struct RuleDocument {
  /// The rules, in the file's order.
  std::vector<RuleLine> rules;
  /// The blank and comment lines after the last rule.
  std::vector<std::string> trailing;
};

/// Splits a text into its rules. Appends what is wrong to `errors`, up to
/// `kMaxRuleErrors`; takes any bytes. Thread-safe.
RuleDocument ReadDocument(std::string_view text,
                          std::vector<RuleError>& errors);

/// The document as text; `ReadDocument` of it gives the same rules.
/// Thread-safe.
std::string FormatDocument(const RuleDocument& document);

/// One rule as text in plain form: `kind name=value ... # who`. Thread-safe.
std::string FormatRule(const RuleLine& rule);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_DOCUMENT_H_
