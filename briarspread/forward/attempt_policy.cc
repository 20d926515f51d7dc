#include "briarspread/forward/attempt_policy.h"

namespace briarspread::forward {

void AttemptPolicy::RecordVerdict(Verdict verdict) {
  verdict_ = Combine(verdict_, verdict);
  if (verdict == Verdict::kNotRun) {
    ++refusals_;
  } else {
    ++runs_;
  }
}

bool AttemptPolicy::CanRetry(milliseconds left) const {
  if (left < settings_.min_time_left) return false;
  if (refusals_ > settings_.max_refusals) return false;
  if (!IsRetryable(verdict_, is_idempotent_)) return false;
  return runs_ < max_attempts_;
}

}  // namespace briarspread::forward
