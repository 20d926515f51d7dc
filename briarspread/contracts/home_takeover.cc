#include "briarspread/contracts/home_takeover.h"

namespace briarspread {

TakeoverDecision DecideTakeover(const SealedLog& log,
                                StandbyEvidence evidence) {
  const bool is_copy_needed = log.standby.has_value();
  if (is_copy_needed && evidence == StandbyEvidence::kNone) {
    return TakeoverDecision::kBlocked;
  }
  if (log.has_gap) return TakeoverDecision::kGap;
  if (is_copy_needed) {
    return evidence == StandbyEvidence::kOwnFencedCopy
               ? TakeoverDecision::kComplete
               : TakeoverDecision::kGap;
  }
  return log.is_complete ? TakeoverDecision::kComplete : TakeoverDecision::kGap;
}

}  // namespace briarspread
