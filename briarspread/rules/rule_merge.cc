#include "briarspread/rules/rule_merge.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace briarspread {
namespace {

using RuleIndex = std::map<RuleIdentity, const RuleLine*>;
using Order = std::vector<RuleIdentity>;

RuleIndex IndexOf(const RuleDocument& document) {
  RuleIndex index;
  for (const RuleLine& rule : document.rules) {
    index.emplace(IdentityOf(rule), &rule);
  }
  return index;
}

const RuleLine* Find(const RuleIndex& index, const RuleIdentity& identity) {
  const auto it = index.find(identity);
  return it == index.end() ? nullptr : it->second;
}

/// Whether two lines say the same; blanks and comments above do not count.
bool SameRule(const RuleLine* a, const RuleLine* b) {
  if (a == nullptr || b == nullptr) return a == b;
  return FormatRule(*a) == FormatRule(*b);
}

std::optional<RuleLine> Copy(const RuleLine* rule) {
  if (rule == nullptr) return std::nullopt;
  return *rule;
}

/// Merges three documents; one use.
class Merger {
 public:
  Merger(const RuleDocument& base, const RuleDocument& theirs,
         const RuleDocument& ours)
      : base_(base),
        theirs_(theirs),
        ours_(ours),
        base_index_(IndexOf(base)),
        theirs_index_(IndexOf(theirs)),
        ours_index_(IndexOf(ours)) {}

  std::variant<RuleDocument, std::vector<RuleClash>> Merge() {
    FindClashes();
    Order order = MergedOrder();
    if (!clashes_.empty()) return std::move(clashes_);
    RuleDocument merged;
    for (const RuleIdentity& identity : Reachable(order)) {
      merged.rules.push_back(MergedRule(identity));
    }
    merged.trailing =
        ours_.trailing != base_.trailing ? ours_.trailing : theirs_.trailing;
    return merged;
  }

 private:
  void FindClashes() {
    std::set<RuleIdentity> all;
    for (const RuleIndex* index :
         {&base_index_, &theirs_index_, &ours_index_}) {
      for (const auto& [identity, rule] : *index) all.insert(identity);
    }
    for (const RuleIdentity& identity : all) {
      const RuleLine* base = Find(base_index_, identity);
      const RuleLine* theirs = Find(theirs_index_, identity);
      const RuleLine* ours = Find(ours_index_, identity);
      if (SameRule(base, theirs) || SameRule(base, ours) ||
          SameRule(theirs, ours)) {
        continue;
      }
      clashes_.push_back({identity, Copy(theirs), Copy(ours)});
    }
  }

  bool IsInAll(const RuleIdentity& identity) const {
    return Find(base_index_, identity) != nullptr &&
           Find(theirs_index_, identity) != nullptr &&
           Find(ours_index_, identity) != nullptr;
  }

  /// The rules of each kind that stand in all three, in `document`'s order.
  std::map<std::string, Order> CommonOrder(const RuleDocument& document) const {
    std::map<std::string, Order> order;
    for (const RuleLine& rule : document.rules) {
      RuleIdentity identity = IdentityOf(rule);
      if (IsInAll(identity)) order[rule.kind].push_back(std::move(identity));
    }
    return order;
  }

  /// Their order, with the kinds that we reordered in our order, without the
  /// rules that we removed, and with those that we added.
  Order MergedOrder() {
    Order order;
    for (const RuleLine& rule : theirs_.rules) {
      RuleIdentity identity = IdentityOf(rule);
      const bool removed = Find(ours_index_, identity) == nullptr &&
                           Find(base_index_, identity) != nullptr;
      if (!removed) order.push_back(std::move(identity));
    }
    const auto base = CommonOrder(base_);
    const auto theirs = CommonOrder(theirs_);
    for (const auto& [kind, ours] : CommonOrder(ours_)) {
      if (ours == base.at(kind) || ours == theirs.at(kind)) continue;
      if (theirs.at(kind) != base.at(kind)) {
        AddOrderClash(theirs.at(kind), ours);
        continue;
      }
      Reorder(ours, order);
    }
    AddOurs(order);
    return order;
  }

  void AddOrderClash(const Order& theirs, const Order& ours) {
    const auto [first, second] =
        std::mismatch(theirs.begin(), theirs.end(), ours.begin());
    clashes_.push_back({*first, Copy(Find(theirs_index_, *first)),
                        Copy(Find(ours_index_, *second))});
  }

  /// Puts the rules of `wanted` into their places of `order` in its order.
  static void Reorder(const Order& wanted, Order& order) {
    const std::set<RuleIdentity> members(wanted.begin(), wanted.end());
    auto next = wanted.begin();
    for (RuleIdentity& place : order) {
      if (members.contains(place)) place = *next++;
    }
  }

  /// Adds our new rules, each after the rule that it follows in ours.
  void AddOurs(Order& order) const {
    auto place = order.begin();
    for (const RuleLine& rule : ours_.rules) {
      const RuleIdentity identity = IdentityOf(rule);
      const auto it = std::find(order.begin(), order.end(), identity);
      if (it != order.end()) {
        place = std::next(it);
      } else if (Find(base_index_, identity) == nullptr) {
        place = std::next(order.insert(place, identity));
      }
    }
  }

  /// Moves rules up so that none is kept from taking effect by one above it.
  /// Such a place always exists: where a covers b and b covers c, a covers c.
  static Order Reachable(const Order& order) {
    Order reachable;
    for (const RuleIdentity& identity : order) {
      const auto it = std::find_if(
          reachable.begin(), reachable.end(),
          [&](const RuleIdentity& other) { return Covers(other, identity); });
      reachable.insert(it, identity);
    }
    return reachable;
  }

  RuleLine MergedRule(const RuleIdentity& identity) const {
    const RuleLine* base = Find(base_index_, identity);
    const RuleLine* theirs = Find(theirs_index_, identity);
    const RuleLine* ours = Find(ours_index_, identity);
    if (theirs == nullptr) return *ours;
    if (ours == nullptr) return *theirs;
    RuleLine merged = SameRule(base, ours) ? *theirs : *ours;
    const bool we_changed_comments =
        base == nullptr || ours->leading != base->leading;
    merged.leading = we_changed_comments ? ours->leading : theirs->leading;
    return merged;
  }

  /// What the later operator started from.
  const RuleDocument& base_;
  /// What is in force.
  const RuleDocument& theirs_;
  /// What the later operator wants.
  const RuleDocument& ours_;
  /// `base_` by identity.
  const RuleIndex base_index_;
  /// `theirs_` by identity.
  const RuleIndex theirs_index_;
  /// `ours_` by identity.
  const RuleIndex ours_index_;
  /// What was changed on both sides.
  std::vector<RuleClash> clashes_;
};

}  // namespace

std::string Describe(const RuleClash& clash) {
  const std::string later =
      clash.later.has_value()
          ? "line " + std::to_string(clash.later->number) + ": '" +
                FormatRule(*clash.later) + "'"
          : "the removal of a " + clash.identity.kind + " rule";
  if (!clash.earlier.has_value()) {
    return later + " clashes with the earlier removal of this rule";
  }
  return later + " clashes with the earlier '" + FormatRule(*clash.earlier) +
         "', asked for by " + clash.earlier->who;
}

std::variant<RuleDocument, std::vector<RuleClash>> MergeRules(
    const RuleDocument& base, const RuleDocument& theirs,
    const RuleDocument& ours) {
  return Merger(base, theirs, ours).Merge();
}

}  // namespace briarspread
