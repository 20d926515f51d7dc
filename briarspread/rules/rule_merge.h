#ifndef BRIARSPREAD_RULES_RULE_MERGE_H_
#define BRIARSPREAD_RULES_RULE_MERGE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarspread/rules/rule_document.h"
#include "briarspread/rules/rule_parser.h"

namespace briarspread {

/// A rule that two operators changed differently.
struct RuleClash {
  /// The rule.
  RuleIdentity identity;
  /// The line already in force; empty where it was removed.
  std::optional<RuleLine> earlier;
  /// The line refused; empty where the later operator removed it.
  std::optional<RuleLine> later;
};

/// One line for a person: the refused line, and the earlier one with the name
/// of who asked for it. Thread-safe.
std::string Describe(const RuleClash& clash);

/// Puts the changes from `base` to `ours` upon `theirs`. Changes to different
/// rules all hold. A rule that both changed differently is a clash, and so is
/// the order of a kind that both changed differently; any clash refuses the
/// whole. Comments above a rule are taken from `ours` where it changed them.
/// The result parses wherever the three do, but for the bounds on sizes.
/// Precondition: all three come from `ParseDocument`. Thread-safe.
std::variant<RuleDocument, std::vector<RuleClash>> MergeRules(
    const RuleDocument& base, const RuleDocument& theirs,
    const RuleDocument& ours);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_MERGE_H_
