#ifndef BRIARSPREAD_CORE_TOKEN_BUCKET_H_
#define BRIARSPREAD_CORE_TOKEN_BUCKET_H_

#include <algorithm>
#include <atomic>
#include <cassert>
#include <chrono>
#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Refill rate and capacity of a token bucket.
struct TokenRate {
  /// Units per second. If it is zero or less, nothing can be taken.
  double per_second = 0;
  /// Time that an empty bucket takes to fill.
  Duration burst = std::chrono::seconds(1);
};

/// A token bucket that starts full. Over any time T, `TryTake` grants at most
/// `per_second` x (T + `burst`) units. The state is a single atomic, the time
/// at which the bucket will be full again (the generic cell rate algorithm of
/// ITU-T I.371), so that a change of rate needs no update. Thread-safe and
/// lock-free.
class TokenBucket {
 public:
  /// Takes `amount` units and returns true, or takes nothing and returns false
  /// if the bucket holds fewer. Always fails for an amount above the bucket's
  /// capacity. Precondition: `amount` >= 0.
  bool TryTake(double amount, const TokenRate& rate, TimePoint now) {
    assert(amount >= 0);
    if (!CanEverHold(amount, rate)) return false;
    const std::int64_t cost = CostOf(amount, rate);
    const std::int64_t at = now.time_since_epoch().count();
    std::int64_t full = full_at_.load();
    while (true) {
      const std::int64_t next = std::max(full, at) + cost;
      if (next - at > rate.burst.count()) return false;
      if (full_at_.compare_exchange_weak(full, next)) return true;
    }
  }

  /// Takes `amount` units even if the bucket holds fewer; later calls of
  /// `TryTake` then fail until the deficit is refilled. A negative amount
  /// returns unused units. Precondition: `rate.per_second` > 0.
  void Charge(double amount, const TokenRate& rate, TimePoint now) {
    assert(rate.per_second > 0);
    const std::int64_t cost = CostOf(amount, rate);
    const std::int64_t at = now.time_since_epoch().count();
    std::int64_t full = full_at_.load();
    while (!full_at_.compare_exchange_weak(full, std::max(full, at) + cost)) {
    }
  }

  /// Returns the time until `amount` units can be taken, provided that no
  /// others are taken meanwhile. Returns `Duration::max()` if that will never
  /// be possible.
  Duration TimeUntilAvailable(double amount, const TokenRate& rate,
                              TimePoint now) const {
    if (!CanEverHold(amount, rate)) return Duration::max();
    const std::int64_t at = now.time_since_epoch().count();
    const std::int64_t next =
        std::max(full_at_.load(), at) + CostOf(amount, rate);
    return Duration(std::max<std::int64_t>(0, next - at - rate.burst.count()));
  }

  /// Returns whether the bucket is full.
  bool IsFull(TimePoint now) const {
    return full_at_.load() <= now.time_since_epoch().count();
  }

 private:
  static bool CanEverHold(double amount, const TokenRate& rate) {
    const double most = static_cast<double>(rate.burst.count());
    return rate.per_second > 0 && amount * 1e9 / rate.per_second <= most;
  }
  static std::int64_t CostOf(double amount, const TokenRate& rate) {
    return static_cast<std::int64_t>(amount * 1e9 / rate.per_second);
  }

  /// Time at which the bucket is full again, in nanoseconds of the clock of
  /// `now`.
  std::atomic<std::int64_t> full_at_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_TOKEN_BUCKET_H_
