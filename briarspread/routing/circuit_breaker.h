#ifndef BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_H_
#define BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of a `CircuitBreaker`.
struct CircuitBreakerSettings {
  /// Number of consecutive failures that open the breaker.
  std::uint32_t failures_to_open = 5;
  /// Time for which the breaker is open the first time; doubled by each failed
  /// probe.
  Duration initial_open_time = std::chrono::seconds(2);
  /// Maximum time for which the breaker is open before the next probe.
  Duration max_open_time = std::chrono::seconds(60);
  /// Time without a result after which a probe counts as lost and another probe
  /// is allowed.
  Duration probe_timeout = std::chrono::seconds(30);
};

/// Limits the number of upstreams of one model or service that may be ejected
/// at the same time. Thread-safe.
class EjectionQuota {
 public:
  /// Takes one unit of the quota. Returns false if none is left.
  bool TryTake();
  /// Returns one unit. Precondition: the caller took it with `TryTake`.
  void Return();
  /// Sets the size of the quota. Units already taken stay taken, even if they
  /// exceed the new limit.
  void SetLimit(std::uint32_t limit) { limit_ = limit; }
  /// Number of units taken.
  std::uint32_t taken() const { return taken_.load(); }

 private:
  std::atomic<std::uint32_t> limit_{0};
  std::atomic<std::uint32_t> taken_{0};
};

/// Circuit breaker of one upstream. It opens after consecutive failures, which
/// stops new requests to the upstream. After some time it is half open and lets
/// one probe at a time through; the result of a probe closes it or opens it for
/// longer. Thread-safe; `Allows` takes no lock.
class CircuitBreaker {
 public:
  /// Precondition: `quota` is not null.
  CircuitBreaker(const CircuitBreakerSettings& settings,
                 std::shared_ptr<EjectionQuota> quota);
  ~CircuitBreaker();
  CircuitBreaker(const CircuitBreaker&) = delete;
  CircuitBreaker& operator=(const CircuitBreaker&) = delete;

  /// Returns whether a request may be sent to the upstream now. Does not change
  /// the state.
  bool Allows(TimePoint now) const;
  /// Must be called for an upstream that was chosen for a request. If the
  /// breaker is half open, the request becomes its probe. Returns false if the
  /// request must not be sent, for instance because another thread started the
  /// probe first.
  bool Admit(TimePoint now);
  /// Records a successful exchange.
  void OnSuccess(TimePoint now);
  /// Records an exchange that failed because of the upstream.
  void OnFailure(TimePoint now);
  /// Returns whether the breaker is open or half open, which means that the
  /// upstream is ejected.
  bool is_open() const { return is_open_.load(); }

 private:
  void Close();
  void Open(TimePoint now);

  const CircuitBreakerSettings settings_;
  /// Limits how many breakers are open at the same time.
  const std::shared_ptr<EjectionQuota> quota_;
  /// Guards changes of state; the atomics below are read without it.
  std::mutex mutex_;
  /// Whether the breaker is open or half open.
  std::atomic<bool> is_open_{false};
  /// Time at which the breaker becomes half open.
  std::atomic<TimePoint> open_until_{TimePoint{}};
  /// Time at which the probe in flight counts as lost; a time in the past if no
  /// probe is in flight.
  std::atomic<TimePoint> probe_until_{TimePoint{}};
  /// Number of consecutive failures.
  std::atomic<std::uint32_t> failures_{0};
  /// Time for which the breaker will be open the next time.
  Duration next_open_time_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_H_
