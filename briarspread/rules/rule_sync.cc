#include "briarspread/rules/rule_sync.h"

namespace briarspread {

milliseconds RuleSync::Step() {
  const RuleAction action = distributor_.NextAction();
  const StoredRules known = distributor_.Known();
  switch (action.kind) {
    case RuleAction::Kind::kWait:
      return action.wait;
    case RuleAction::Kind::kReadStore:
      distributor_.OnStoreAnswer(store_.Read(known.rules));
      break;
    case RuleAction::Kind::kWatchStore:
      distributor_.OnStoreAnswer(store_.Watch(known, action.wait));
      break;
    case RuleAction::Kind::kAskPeer:
      distributor_.OnPeerAnswer(
          action.peer, peers_.Fetch(action.peer, known.rules.revision));
      break;
  }
  return milliseconds(0);
}

}  // namespace briarspread
