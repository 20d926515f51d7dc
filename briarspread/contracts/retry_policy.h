#ifndef BRIARSPREAD_CONTRACTS_RETRY_POLICY_H_
#define BRIARSPREAD_CONTRACTS_RETRY_POLICY_H_

#include <optional>

#include "briarspread/contracts/cost_budget.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/verdict.h"

namespace briarspread {

/// Settings of retries.
struct RetrySettings {
  /// Limit on the number of retries as a fraction of the number of requests.
  double budget_fraction = 0.1;
  /// Number of retries allowed in a burst above that fraction.
  double budget_burst = 10;
  /// Maximum number of attempts per request, including the first.
  int max_attempts = 3;
  /// Maximum delay before the first retry. Doubles with each further retry.
  milliseconds initial_backoff{20};
  /// Maximum delay before any retry.
  milliseconds max_backoff{1000};
};

/// State of a request after one or more failed attempts.
struct AttemptState {
  /// The combined verdict of all attempts; see `Combine`.
  Verdict verdict = Verdict::kNotRun;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Number of attempts made.
  int attempts = 0;
  /// When the caller's deadline is reached.
  TimePoint deadline;
};

/// Decides whether and after which delay a failed request is retried.
/// Thread-safe.
class RetryPolicy {
 public:
  /// Precondition: `clock` and `random` outlive this object.
  RetryPolicy(RetrySettings settings, const Clock& clock, RandomSource& random);

  /// Counts the first attempt of a request.
  void OnRequest() { budget_.OnRequest(1); }
  /// Returns the delay before the next attempt. Returns nothing if there must
  /// be no further attempt: the verdict does not allow one, the maximum number
  /// of attempts is reached, the retry budget is exhausted, or the delay would
  /// end after the deadline.
  std::optional<milliseconds> NextDelay(const AttemptState& so_far);

 private:
  RetrySettings settings_;
  const Clock& clock_;
  /// Source of the jitter.
  RandomSource& random_;
  /// Limits retries to a fraction of requests.
  CostBudget budget_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_RETRY_POLICY_H_
