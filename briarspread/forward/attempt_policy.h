#ifndef BRIARSPREAD_FORWARD_ATTEMPT_POLICY_H_
#define BRIARSPREAD_FORWARD_ATTEMPT_POLICY_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/verdict.h"

namespace briarspread::forward {

/// Limits on the attempts of one request.
struct AttemptSettings {
  /// Number of refusals by upstreams after which a request is still retried.
  /// Refusals do not count against the route's `max_attempts`, because a
  /// refused attempt did not run.
  std::uint32_t max_refusals = 3;
  /// Minimum time before the request's deadline for another attempt; with less,
  /// the attempt is unlikely to succeed and only adds load.
  milliseconds min_time_left{20};
};

/// Decides whether a request is retried after a failed attempt. Limits the
/// extra load on a failing upstream: a request whose attempt may have run is
/// sent again only if it is idempotent, and never more often than the route
/// allows. Not thread-safe.
class AttemptPolicy final {
 public:
  AttemptPolicy(const AttemptSettings& settings, bool is_idempotent,
                std::uint32_t max_attempts)
      : settings_(settings),
        is_idempotent_(is_idempotent),
        max_attempts_(max_attempts) {}

  /// Records the verdict of an attempt that failed.
  void RecordVerdict(Verdict verdict);
  /// Returns whether the request may be sent again with `left` time before its
  /// deadline.
  bool CanRetry(milliseconds left) const;
  /// Returns the combined verdict of all recorded attempts; `kNotRun` if there
  /// was none.
  Verdict verdict() const { return verdict_; }

 private:
  const AttemptSettings settings_;
  const bool is_idempotent_;
  const std::uint32_t max_attempts_;
  /// Number of attempts that may have run.
  std::uint32_t runs_ = 0;
  std::uint32_t refusals_ = 0;
  Verdict verdict_ = Verdict::kNotRun;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_ATTEMPT_POLICY_H_
