#ifndef BRIARSPREAD_RULES_RULE_SYNC_H_
#define BRIARSPREAD_RULES_RULE_SYNC_H_

#include "briarspread/core/clock.h"
#include "briarspread/rules/peer_rules.h"
#include "briarspread/rules/rule_distributor.h"
#include "briarspread/rules/rule_store.h"

namespace briarspread {

/// Performs the actions of a `RuleDistributor` with a store and peers. Each of
/// the two methods is for one thread at a time; they may run side by side.
class RuleSync {
 public:
  /// Precondition: all arguments outlive this object.
  RuleSync(RuleDistributor& distributor, RuleStore& store, PeerRules& peers)
      : distributor_(distributor), store_(store), peers_(peers) {}

  /// Performs one action about the store, which may block as the store does.
  /// Returns how long to wait before the next one.
  milliseconds StepStore();
  /// As `StepStore`, about peers; an announcement that is news ends the wait
  /// early.
  milliseconds StepPeers();

 private:
  /// Decides.
  RuleDistributor& distributor_;
  /// The store of rules.
  RuleStore& store_;
  /// The other instances.
  PeerRules& peers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SYNC_H_
