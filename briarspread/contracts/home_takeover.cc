#include "briarspread/contracts/home_takeover.h"

namespace briarspread {

TakeoverDecision DecideTakeover(const SealedLog& log, StandbyEvidence evidence,
                                bool is_owner_dead) {
  const bool is_copy_needed = log.standby.has_value();
  if (is_copy_needed && evidence == StandbyEvidence::kNone) {
    return TakeoverDecision::kBlocked;
  }
  const bool may_be_alone =
      is_copy_needed && evidence == StandbyEvidence::kProcessDead;
  if (may_be_alone && !is_owner_dead) return TakeoverDecision::kBlocked;
  if (log.has_gap) return TakeoverDecision::kGap;
  if (is_copy_needed) {
    return evidence == StandbyEvidence::kOwnFencedCopy
               ? TakeoverDecision::kComplete
               : TakeoverDecision::kGap;
  }
  return log.is_complete ? TakeoverDecision::kComplete : TakeoverDecision::kGap;
}

}  // namespace briarspread
