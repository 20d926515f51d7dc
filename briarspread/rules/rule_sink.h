#ifndef BRIARSPREAD_RULES_RULE_SINK_H_
#define BRIARSPREAD_RULES_RULE_SINK_H_

#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// Receives the rules that come into force on this instance.
class RuleSink {
 public:
  virtual ~RuleSink() = default;
  /// Puts `rules` in force. Called with strictly increasing revisions, by one
  /// thread at a time.
  virtual void Publish(RuleSet rules) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SINK_H_
