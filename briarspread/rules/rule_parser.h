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
/// with `#` carry no rule. All or nothing: any error refuses the whole text,
/// and so does a rule that an earlier one keeps from ever taking effect.
/// Takes any bytes. Thread-safe.
std::variant<RuleSet, std::vector<RuleError>> ParseRules(std::string_view text);

/// As `ParseRules`, and gives the lines. Thread-safe.
std::variant<RuleDocument, std::vector<RuleError>> ParseDocument(
    std::string_view text);

/// What a rule is about: its kind and the values of its selecting arguments.
struct RuleIdentity {
  /// The kind.
  std::string kind;
  /// The selecting arguments' values, in the order of the kind's arguments.
  std::vector<std::string> selectors;

  friend auto operator<=>(const RuleIdentity&, const RuleIdentity&) = default;
};

/// The identity of a rule that parsed. Precondition: its kind is known.
/// Thread-safe.
RuleIdentity IdentityOf(const RuleLine& rule);

/// Whether `rule` matches all that `other` matches, so that `other` has no
/// effect after it. Thread-safe.
bool Covers(const RuleIdentity& rule, const RuleIdentity& other);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_PARSER_H_
