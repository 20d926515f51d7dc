#ifndef BRIARSPREAD_RULES_PEER_RULES_H_
#define BRIARSPREAD_RULES_PEER_RULES_H_

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/rules/rule_log.h"

namespace briarspread {

/// Fetches from other instances the rules that are in force there.
class PeerRules {
 public:
  virtual ~PeerRules() = default;
  /// Returns the revision and the text in force on `peer`. The text may be
  /// empty if that revision is not greater than `above`. Blocks for a bounded
  /// time. Thread-safe.
  virtual Result<RuleText> Fetch(const InstanceId& peer, Revision above) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_PEER_RULES_H_
