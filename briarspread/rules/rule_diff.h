#ifndef BRIARSPREAD_RULES_RULE_DIFF_H_
#define BRIARSPREAD_RULES_RULE_DIFF_H_

#include <string>
#include <vector>

#include "briarspread/rules/rule_document.h"

namespace briarspread {

/// A rule whose values or comment differ.
struct RuleDifference {
  /// The line before.
  std::string before;
  /// The line after.
  std::string after;
};

/// What differs between two texts of rules, rule by rule. Blanks, blank lines
/// and comment lines do not count.
struct RuleDiff {
  /// Rules that only the text before has.
  std::vector<std::string> removed;
  /// Rules that only the text after has.
  std::vector<std::string> added;
  /// Rules that both have, with a difference.
  std::vector<RuleDifference> changed;
  /// Kinds whose rules stand in another order.
  std::vector<std::string> reordered;

  /// Whether nothing differs.
  bool empty() const {
    return removed.empty() && added.empty() && changed.empty() &&
           reordered.empty();
  }
};

/// What leads from one document to the other. Precondition: both come from
/// `ParseDocument`. Thread-safe.
RuleDiff DiffRules(const RuleDocument& before, const RuleDocument& after);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_DIFF_H_
