#include "briarspread/forward/attempt_policy.h"

namespace briarspread::forward {

void AttemptPolicy::Note(Verdict verdict) {
  verdict_ = Combine(verdict_, verdict);
  if (verdict == Verdict::kNotRun) {
    ++refusals_;
  } else {
    ++runs_;
  }
}

bool AttemptPolicy::MayTryAgain(milliseconds left) const {
  if (left < settings_.least_time) return false;
  if (refusals_ > settings_.max_refusals) return false;
  if (!IsRetryable(verdict_, is_idempotent_)) return false;
  return runs_ < max_attempts_;
}

}  // namespace briarspread::forward
