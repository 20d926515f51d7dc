#ifndef BRIARSPREAD_ADMISSION_CONCURRENCY_LIMITER_H_
#define BRIARSPREAD_ADMISSION_CONCURRENCY_LIMITER_H_

#include <atomic>
#include <cstdint>
#include <mutex>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of a `ConcurrencyLimiter`.
struct ConcurrencyLimiterSettings {
  /// Minimum and maximum of the limit.
  double min_limit = 1;
  double max_limit = 256;
  /// Limit at the start.
  double initial_limit = 16;
  /// Ratio of the mean latency to the minimum latency above which requests are
  /// assumed to queue at the upstream.
  double tolerance = 2.0;
  /// Factor by which the limit is multiplied on queueing or overload.
  double decrease_factor = 0.9;
  /// Number of ended requests in a window; the limit is adapted after each
  /// window.
  std::uint32_t requests_per_window = 32;
  /// Number of windows after which the minimum latency is measured again, at a
  /// lower limit, so that an upstream that has become permanently slower is not
  /// throttled forever.
  std::uint32_t windows_per_measurement = 100;
};

/// Outcome of a request, as the limiter uses it.
enum class LimiterOutcome {
  /// The upstream responded; the latency is used.
  kAnswered,
  /// The upstream reported overload.
  kOverloaded,
  /// The outcome does not depend on the load of the upstream, for instance
  /// because the caller disconnected.
  kIgnored,
};

/// Limits this instance's requests in flight at one upstream. The limit is
/// adapted by additive increase and multiplicative decrease (AIMD), based on
/// the ratio of the latency to the minimum latency, so that the number of slots
/// of the upstream need not be known. Thread-safe; `TryAcquire` takes no lock.
class ConcurrencyLimiter {
 public:
  /// Precondition: 1 <= `min_limit` <= `initial_limit` <= `max_limit`.
  explicit ConcurrencyLimiter(const ConcurrencyLimiterSettings& settings);

  /// Counts a request as in flight. Returns false if the limit is reached.
  bool TryAcquire();
  /// Ends a request that had the given outcome and latency. Precondition:
  /// `TryAcquire` returned true for the request.
  void Release(LimiterOutcome outcome, Duration latency);
  /// Current limit.
  std::uint32_t limit() const { return limit_.load(); }
  /// Number of requests in flight.
  std::uint32_t in_flight() const { return in_flight_.load(); }

 private:
  /// Purpose of the current window: to adapt the limit, to let queued requests
  /// end at a lower limit, or to measure the minimum latency.
  enum class Phase { kAdapt, kDrain, kMeasure };

  void EndWindow();
  void Adapt();
  void Remeasure();

  const ConcurrencyLimiterSettings settings_;
  /// `exact_limit_`, rounded down.
  std::atomic<std::uint32_t> limit_;
  /// Number of requests in flight.
  std::atomic<std::uint32_t> in_flight_{0};
  /// Guards the members below.
  std::mutex mutex_;
  /// The limit before rounding.
  double exact_limit_;
  /// Purpose of the current window.
  Phase phase_ = Phase::kAdapt;
  /// Limit to restore after the minimum latency has been measured.
  double limit_before_measurement_ = 0;
  /// Minimum latency since the last time it was reset; zero if there is no
  /// sample.
  Duration min_latency_{};
  /// Sum of the latencies in the current window.
  Duration window_sum_{};
  /// Number of requests in the current window.
  std::uint32_t window_count_ = 0;
  /// Maximum number of requests in flight in the current window.
  std::uint32_t window_peak_ = 0;
  /// Number of windows since the minimum latency was last measured.
  std::uint32_t windows_since_measurement_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_CONCURRENCY_LIMITER_H_
