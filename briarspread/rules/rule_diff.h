#ifndef BRIARSPREAD_RULES_RULE_DIFF_H_
#define BRIARSPREAD_RULES_RULE_DIFF_H_

#include <string>
#include <vector>

#include "briarspread/rules/rule_document.h"

namespace briarspread {

/// A rule whose values or comment differ.
struct RuleDifference {
  /// The rule before the change, as text.
  std::string before;
  /// The rule after the change, as text.
  std::string after;
};

/// Differences between two texts of rules, rule by rule. Whitespace, blank
/// lines and comment lines are ignored.
struct RuleDiff {
  /// Rules that are only in the older text.
  std::vector<std::string> removed;
  /// Rules that are only in the newer text.
  std::vector<std::string> added;
  /// Rules that are in both texts, with other values or another comment.
  std::vector<RuleDifference> changed;
  /// Kinds whose common rules are in another order.
  std::vector<std::string> reordered;

  /// Returns whether the texts have the same rules in the same order.
  bool empty() const {
    return removed.empty() && added.empty() && changed.empty() &&
           reordered.empty();
  }
};

/// Returns the differences from `before` to `after`. Precondition: both come
/// from `ParseDocument`. Thread-safe.
RuleDiff DiffRules(const RuleDocument& before, const RuleDocument& after);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_DIFF_H_
