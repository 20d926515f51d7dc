#ifndef BRIARSPREAD_RULES_RULE_SYNC_H_
#define BRIARSPREAD_RULES_RULE_SYNC_H_

#include "briarspread/core/clock.h"
#include "briarspread/rules/peer_rules.h"
#include "briarspread/rules/rule_distributor.h"
#include "briarspread/rules/rule_store.h"

namespace briarspread {

/// Performs the actions of a `RuleDistributor` on a store and on peers. Each of
/// the two methods may be called by one thread at a time; they may run
/// concurrently with each other.
class RuleSync {
 public:
  /// Precondition: all arguments outlive this object.
  RuleSync(RuleDistributor& distributor, RuleStore& store, PeerRules& peers)
      : distributor_(distributor), store_(store), peers_(peers) {}

  /// Performs one action on the store and blocks while the store does. Returns
  /// the time to wait before the next call.
  milliseconds StepStore();
  /// Performs one action on peers and blocks while a fetch does. Returns the
  /// time to wait before the next call; the wait should end early if
  /// `OnAnnouncement` of the distributor returns true.
  milliseconds StepPeers();

 private:
  /// Plans the actions.
  RuleDistributor& distributor_;
  /// The store that is read and watched.
  RuleStore& store_;
  /// Fetches from the other instances.
  PeerRules& peers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SYNC_H_
