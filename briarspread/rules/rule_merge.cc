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

/// Returns whether two rules are equal or both absent. Whitespace and the
/// comments above them are ignored.
bool SameRule(const RuleLine* a, const RuleLine* b) {
  if (a == nullptr || b == nullptr) return a == b;
  return FormatRule(*a) == FormatRule(*b);
}

std::optional<RuleLine> Copy(const RuleLine* rule) {
  if (rule == nullptr) return std::nullopt;
  return *rule;
}

/// Merges three documents. For one use.
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
    for (const RuleIdentity& identity : MoveUpCovered(order)) {
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

  /// Returns, by kind, the rules that are in all three documents, in the order
  /// of `document`.
  std::map<std::string, Order> CommonOrder(const RuleDocument& document) const {
    std::map<std::string, Order> order;
    for (const RuleLine& rule : document.rules) {
      RuleIdentity identity = IdentityOf(rule);
      if (IsInAll(identity)) order[rule.kind].push_back(std::move(identity));
    }
    return order;
  }

  /// Returns the order of `theirs_`, with the kinds reordered in `ours_` in the
  /// order of `ours_`, without the rules removed there and with those added
  /// there. Adds a clash for each kind that both reordered in different ways.
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
    InsertAdditions(order);
    return order;
  }

  void AddOrderClash(const Order& theirs, const Order& ours) {
    const auto [first, second] =
        std::mismatch(theirs.begin(), theirs.end(), ours.begin());
    clashes_.push_back({*first, Copy(Find(theirs_index_, *first)),
                        Copy(Find(ours_index_, *second))});
  }

  /// Rearranges the rules of `order` that are in `wanted` into the order of
  /// `wanted`, at the positions that these rules occupy.
  static void Reorder(const Order& wanted, Order& order) {
    const std::set<RuleIdentity> members(wanted.begin(), wanted.end());
    auto next = wanted.begin();
    for (RuleIdentity& place : order) {
      if (members.contains(place)) place = *next++;
    }
  }

  /// Inserts each rule that only `ours_` has after its predecessor there.
  void InsertAdditions(Order& order) const {
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

  /// Returns `order` with rules moved up so that no rule is covered by an
  /// earlier one. Such a position always exists since covering is transitive:
  /// if a covers b and b covers c, a covers c.
  static Order MoveUpCovered(const Order& order) {
    Order reachable;
    for (const RuleIdentity& identity : order) {
      const auto it = std::find_if(
          reachable.begin(), reachable.end(),
          [&](const RuleIdentity& other) { return Covers(other, identity); });
      reachable.insert(it, identity);
    }
    return reachable;
  }

  /// Returns a rule with its comments from the side that changed it.
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

  /// The document that the later operator edited.
  const RuleDocument& base_;
  /// The document in force.
  const RuleDocument& theirs_;
  /// The document that the later operator proposes.
  const RuleDocument& ours_;
  /// The rules of `base_` by identity.
  const RuleIndex base_index_;
  /// The rules of `theirs_` by identity.
  const RuleIndex theirs_index_;
  /// The rules of `ours_` by identity.
  const RuleIndex ours_index_;
  /// The clashes found so far.
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
