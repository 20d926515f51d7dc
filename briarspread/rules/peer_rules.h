#ifndef BRIARSPREAD_RULES_PEER_RULES_H_
#define BRIARSPREAD_RULES_PEER_RULES_H_

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/rules/rule_log.h"

namespace briarspread {

/// Asks other instances for the rules that they have in force.
class PeerRules {
 public:
  virtual ~PeerRules() = default;
  /// The peer's revision and text. The text may be empty where the peer's
  /// revision is not above `above`. Blocks for a bounded time. Safe to call
  /// from any thread.
  virtual Result<RuleText> Fetch(const InstanceId& peer, Revision above) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_PEER_RULES_H_
