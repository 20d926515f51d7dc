#include "briarspread/rules/rule_diff.h"

#include <map>
#include <utility>

#include "briarspread/rules/rule_parser.h"

namespace briarspread {
namespace {

using RuleIndex = std::map<RuleIdentity, const RuleLine*>;

RuleIndex IndexOf(const RuleDocument& document) {
  RuleIndex index;
  for (const RuleLine& rule : document.rules) {
    index.emplace(IdentityOf(rule), &rule);
  }
  return index;
}

/// Returns, by kind, the rules of `document` that are in `other` too, in
/// `document`'s order.
std::map<std::string, std::vector<RuleIdentity>> CommonOrder(
    const RuleDocument& document, const RuleIndex& other) {
  std::map<std::string, std::vector<RuleIdentity>> order;
  for (const RuleLine& rule : document.rules) {
    RuleIdentity identity = IdentityOf(rule);
    if (other.contains(identity)) {
      order[rule.kind].push_back(std::move(identity));
    }
  }
  return order;
}

}  // namespace

RuleDiff DiffRules(const RuleDocument& before, const RuleDocument& after) {
  const RuleIndex old_rules = IndexOf(before);
  const RuleIndex new_rules = IndexOf(after);
  RuleDiff diff;
  for (const RuleLine& rule : before.rules) {
    const auto it = new_rules.find(IdentityOf(rule));
    if (it == new_rules.end()) {
      diff.removed.push_back(FormatRule(rule));
    } else if (FormatRule(rule) != FormatRule(*it->second)) {
      diff.changed.push_back({FormatRule(rule), FormatRule(*it->second)});
    }
  }
  for (const RuleLine& rule : after.rules) {
    if (!old_rules.contains(IdentityOf(rule))) {
      diff.added.push_back(FormatRule(rule));
    }
  }
  const auto old_order = CommonOrder(before, new_rules);
  for (const auto& [kind, order] : CommonOrder(after, old_rules)) {
    if (order != old_order.at(kind)) diff.reordered.push_back(kind);
  }
  return diff;
}

}  // namespace briarspread
