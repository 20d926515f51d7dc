#ifndef BRIARSPREAD_ADMISSION_CONCURRENCY_LIMITER_H_
#define BRIARSPREAD_ADMISSION_CONCURRENCY_LIMITER_H_

#include <atomic>
#include <cstdint>
#include <mutex>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Bounds and pace of an adaptive limit.
struct ConcurrencyLimiterSettings {
  /// The limit stays within these.
  double lowest = 1;
  double highest = 256;
  /// The limit to begin with.
  double initial = 16;
  /// Mean latency above this many times the least one means queueing.
  double tolerance = 2.0;
  /// The limit is multiplied by this on queueing or overload.
  double decrease = 0.9;
  /// Ended requests after which the limit is judged.
  std::uint32_t window = 32;
  /// Windows after which the least latency is measured anew, at a lower limit,
  /// so that a model that became slower for good is not throttled for ever.
  std::uint32_t windows_to_remeasure = 100;
};

/// How a request ended, as the limiter sees it.
enum class LimiterOutcome {
  /// Its latency counts.
  kAnswered,
  /// The upstream was overloaded.
  kOverloaded,
  /// It says nothing of the upstream's load, such as a caller that hung up.
  kIgnored,
};

/// Limits the own requests in flight on one upstream by additive increase and
/// multiplicative decrease on latency against the least latency seen: no
/// number of slots has to be known. Thread-safe; `TryAcquire` takes no lock.
class ConcurrencyLimiter {
 public:
  /// Precondition: 1 <= `lowest` <= `initial` <= `highest`.
  explicit ConcurrencyLimiter(const ConcurrencyLimiterSettings& settings);

  /// Takes a place, or says no where the limit is reached.
  bool TryAcquire();
  /// Gives the place back. Precondition: `TryAcquire` returned true for it.
  void Release(LimiterOutcome outcome, Duration latency);
  /// The limit now.
  std::uint32_t limit() const { return limit_.load(); }
  /// Places taken.
  std::uint32_t in_flight() const { return in_flight_.load(); }

 private:
  /// What the present window is for.
  enum class Phase { kAdapt, kDrain, kMeasure };

  void EndWindow();
  void Adapt();
  void Remeasure();

  const ConcurrencyLimiterSettings settings_;
  /// The limit, rounded down.
  std::atomic<std::uint32_t> limit_;
  /// Places taken.
  std::atomic<std::uint32_t> in_flight_{0};
  /// Guards the members below.
  std::mutex mutex_;
  /// The limit, exact.
  double exact_limit_;
  /// What the present window is for.
  Phase phase_ = Phase::kAdapt;
  /// The limit to go back to after measuring.
  double limit_before_ = 0;
  /// Least latency since it was last measured anew; zero for none.
  Duration least_{};
  /// Sum of the window's latencies.
  Duration window_sum_{};
  /// Requests in the window.
  std::uint32_t window_count_ = 0;
  /// Most places taken at once in the window.
  std::uint32_t window_peak_ = 0;
  /// Windows since the least latency was measured anew.
  std::uint32_t windows_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_CONCURRENCY_LIMITER_H_
