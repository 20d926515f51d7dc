#ifndef BRIARSPREAD_FORWARD_ATTEMPT_POLICY_H_
#define BRIARSPREAD_FORWARD_ATTEMPT_POLICY_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/verdict.h"

namespace briarspread::forward {

/// Settings of attempts.
struct AttemptSettings {
  /// Refusals by upstreams that one request may meet, beyond the route's
  /// attempts, since a refused one did not run.
  std::uint32_t max_refusals = 3;
  /// With less time left another attempt is not worth its load.
  milliseconds least_time{20};
};

/// Decides whether a request is sent once more after a failed attempt. Answers
/// the load of a failing upstream: work is doubled only where the failed
/// attempt may have run, and never beyond the route's limit. Holds no thread.
class AttemptPolicy final {
 public:
  AttemptPolicy(const AttemptSettings& settings, bool is_idempotent,
                std::uint32_t max_attempts)
      : settings_(settings),
        is_idempotent_(is_idempotent),
        max_attempts_(max_attempts) {}

  /// Notes how an attempt ended.
  void Note(Verdict verdict);
  /// Whether another attempt may be made with so much time left.
  bool MayTryAgain(milliseconds left) const;
  /// The verdict over all attempts.
  Verdict verdict() const { return verdict_; }

 private:
  const AttemptSettings settings_;
  const bool is_idempotent_;
  const std::uint32_t max_attempts_;
  /// Attempts that may have run.
  std::uint32_t runs_ = 0;
  std::uint32_t refusals_ = 0;
  Verdict verdict_ = Verdict::kNotRun;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_ATTEMPT_POLICY_H_
