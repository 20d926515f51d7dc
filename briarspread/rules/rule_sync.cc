#include "briarspread/rules/rule_sync.h"

namespace briarspread {

milliseconds RuleSync::StepStore() {
  const RuleAction action = distributor_.NextStoreAction();
  if (action.kind == RuleAction::Kind::kWait) return action.wait;
  const StoredRules known = distributor_.KnownRules();
  if (action.kind == RuleAction::Kind::kWatchStore) {
    distributor_.OnStoreAnswer(store_.Watch(known, action.wait));
  } else {
    distributor_.OnStoreAnswer(store_.Read(known.rules));
  }
  return milliseconds(0);
}

milliseconds RuleSync::StepPeers() {
  const RuleAction action = distributor_.NextPeerAction();
  if (action.kind == RuleAction::Kind::kWait) return action.wait;
  const Revision above = distributor_.InForce().revision;
  distributor_.OnPeerAnswer(action.peer, peers_.Fetch(action.peer, above));
  return milliseconds(0);
}

}  // namespace briarspread
