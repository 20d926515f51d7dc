#ifndef BRIARSPREAD_RULES_RULE_MERGE_H_
#define BRIARSPREAD_RULES_RULE_MERGE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarspread/rules/rule_document.h"
#include "briarspread/rules/rule_parser.h"

namespace briarspread {

/// A merge conflict: a rule that two operators changed in different ways.
struct RuleClash {
  /// The identity of the rule.
  RuleIdentity identity;
  /// The rule in force; empty if the earlier change removed it.
  std::optional<RuleLine> earlier;
  /// The refused rule; empty if the later change removes it.
  std::optional<RuleLine> later;
};

/// Returns the clash as one readable line: the refused rule, and the earlier
/// rule with the name of who asked for it. Thread-safe.
std::string Describe(const RuleClash& clash);

/// Three-way merge: applies the changes from `base` to `ours` to `theirs`.
/// Changes to different rules are all kept. A rule that both sides changed in
/// different ways is a clash, and so is the order of a kind's rules that both
/// sides changed in different ways; any clash refuses the whole merge. Comments
/// above a rule are taken from `ours` if it changed them. The result parses,
/// except that it may exceed the bounds on sizes.
/// Precondition: all three come from `ParseDocument`. Thread-safe.
std::variant<RuleDocument, std::vector<RuleClash>> MergeRules(
    const RuleDocument& base, const RuleDocument& theirs,
    const RuleDocument& ours);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_MERGE_H_
