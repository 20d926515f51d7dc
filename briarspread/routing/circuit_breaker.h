#ifndef BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_H_
#define BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "briarspread/core/clock.h"

namespace briarspread {

/// When a circuit breaker opens and for how long.
struct CircuitBreakerSettings {
  /// Failures in a row that open it.
  std::uint32_t failures_to_open = 5;
  /// How long it stays open the first time; doubled by each failed probe.
  Duration first_open = std::chrono::seconds(2);
  /// The longest time it stays open.
  Duration longest_open = std::chrono::seconds(60);
  /// After this time without a result a probe counts as lost.
  Duration probe_timeout = std::chrono::seconds(30);
};

/// How many upstreams of one model or service may be ejected at once.
/// Thread-safe.
class EjectionQuota {
 public:
  /// Takes one place, or says no.
  bool TryTake();
  /// Gives one place back. Precondition: it was taken.
  void Return();
  /// Sets how many places there are. Places already taken stay taken.
  void SetLimit(std::uint32_t limit) { limit_ = limit; }
  /// Places taken.
  std::uint32_t taken() const { return taken_.load(); }

 private:
  /// Places in all.
  std::atomic<std::uint32_t> limit_{0};
  /// Places taken.
  std::atomic<std::uint32_t> taken_{0};
};

/// Keeps new work from an upstream that fails in a row, then lets one probe at
/// a time through. Thread-safe; `Allows` reads two atomics and takes no lock
/// while the breaker is closed.
class CircuitBreaker {
 public:
  /// Precondition: `quota` is not null.
  CircuitBreaker(const CircuitBreakerSettings& settings,
                 std::shared_ptr<EjectionQuota> quota);
  ~CircuitBreaker();
  CircuitBreaker(const CircuitBreaker&) = delete;
  CircuitBreaker& operator=(const CircuitBreaker&) = delete;

  /// Whether a request may go to the upstream now. Changes nothing.
  bool Allows(TimePoint now) const;
  /// Called for the chosen upstream: marks the probe where the breaker is half
  /// open. False where another thread took the probe first.
  bool Admit(TimePoint now);
  /// Records an exchange that worked.
  void OnSuccess(TimePoint now);
  /// Records an exchange that failed for a fault of the upstream.
  void OnFailure(TimePoint now);
  /// Whether the upstream is ejected, half open included.
  bool is_open() const { return is_open_.load(); }

 private:
  void Close();
  void Open(TimePoint now);

  const CircuitBreakerSettings settings_;
  /// Bounds how many are open at once.
  const std::shared_ptr<EjectionQuota> quota_;
  /// Guards changes of state.
  std::mutex mutex_;
  /// Whether it is open or half open.
  std::atomic<bool> is_open_{false};
  /// When it becomes half open.
  std::atomic<TimePoint> open_until_{TimePoint{}};
  /// When the probe in flight counts as lost; the past where there is none.
  std::atomic<TimePoint> probe_until_{TimePoint{}};
  /// Failures in a row.
  std::atomic<std::uint32_t> failures_{0};
  /// How long it stays open next time.
  Duration next_open_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_H_
