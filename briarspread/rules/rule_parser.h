#ifndef BRIARSPREAD_RULES_RULE_PARSER_H_
#define BRIARSPREAD_RULES_RULE_PARSER_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarspread/rules/rule_document.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// Parses the operators' file. A rule is one line:
/// `kind name=value ... # who asked for it`. Blank lines and lines that start
/// with `#` contain no rule. Any error refuses the whole text; a rule that is
/// covered by an earlier one, and thus could never take effect, is an error.
/// Accepts arbitrary bytes. Thread-safe.
std::variant<RuleSet, std::vector<RuleError>> ParseRules(std::string_view text);

/// Parses as `ParseRules` does, but returns the rules as lines. Thread-safe.
std::variant<RuleDocument, std::vector<RuleError>> ParseDocument(
    std::string_view text);

/// The identity of a rule: its kind and the values of its selecting arguments.
struct RuleIdentity {
  /// The kind of the rule.
  std::string kind;
  /// The values of the selecting arguments, in the order of the kind's
  /// arguments.
  std::vector<std::string> selectors;

  friend auto operator<=>(const RuleIdentity&, const RuleIdentity&) = default;
};

/// Returns the identity of a rule. Precondition: its kind exists. Thread-safe.
RuleIdentity IdentityOf(const RuleLine& rule);

/// Returns whether `rule` matches everything that `other` matches, so that
/// `other` has no effect if it comes later. Thread-safe.
bool Covers(const RuleIdentity& rule, const RuleIdentity& other);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_PARSER_H_
