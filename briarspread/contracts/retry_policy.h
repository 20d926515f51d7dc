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
  /// Retries as a fraction of requests, and how many may come in a burst.
  double budget_fraction = 0.1;
  double budget_burst = 10;
  /// Exchanges of one request, the first included.
  int max_attempts = 3;
  /// The longest delay before the first retry; doubles with each further one.
  milliseconds first_backoff{20};
  /// The longest delay before any retry.
  milliseconds max_backoff{1000};
};

/// What came of a request so far.
struct AttemptsSoFar {
  /// The verdict over all attempts, as `Combine` gives it.
  Verdict verdict = Verdict::kNotRun;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Exchanges made.
  int attempts = 0;
  /// When the caller stops waiting.
  TimePoint deadline;
};

/// Decides whether a failed request is sent again, and after which delay.
/// Thread-safe.
class RetryPolicy {
 public:
  /// Precondition: `clock` and `random` outlive this object.
  RetryPolicy(RetrySettings settings, const Clock& clock, RandomSource& random);

  /// Counts a request's first attempt.
  void OnRequest() { budget_.OnRequest(1); }
  /// The delay before the next attempt, or nothing where the request ends here:
  /// its verdict forbids another, attempts or the budget are used up, or the
  /// delay would pass the deadline.
  std::optional<milliseconds> NextDelay(const AttemptsSoFar& so_far);

 private:
  /// Bounds.
  RetrySettings settings_;
  /// The time.
  const Clock& clock_;
  /// Draws the jitter.
  RandomSource& random_;
  /// Bounds retries as a fraction of requests.
  CostBudget budget_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_RETRY_POLICY_H_
