#include "briarspread/contracts/retry_policy.h"

#include <algorithm>

namespace briarspread {

RetryPolicy::RetryPolicy(RetrySettings settings, const Clock& clock,
                         RandomSource& random)
    : settings_(settings),
      clock_(clock),
      random_(random),
      budget_(settings.budget_fraction, settings.budget_burst) {}

std::optional<milliseconds> RetryPolicy::NextDelay(const AttemptState& so_far) {
  if (so_far.verdict == Verdict::kAnswered) return std::nullopt;
  if (!IsRetryable(so_far.verdict, so_far.idempotent)) return std::nullopt;
  if (so_far.attempts >= settings_.max_attempts) return std::nullopt;
  milliseconds longest = settings_.initial_backoff;
  for (int i = 1; i < so_far.attempts && longest < settings_.max_backoff; ++i) {
    longest *= 2;
  }
  longest = std::min(longest, settings_.max_backoff);
  // Full jitter, so that requests that failed at the same time are not retried
  // at the same time.
  const milliseconds delay(
      random_.Below(static_cast<std::uint64_t>(longest.count()) + 1));
  if (clock_.Now() + delay >= so_far.deadline) return std::nullopt;
  if (!budget_.TryTake(1)) return std::nullopt;
  return delay;
}

}  // namespace briarspread
