#ifndef BRIARSPREAD_CORE_TOKEN_BUCKET_H_
#define BRIARSPREAD_CORE_TOKEN_BUCKET_H_

#include <algorithm>
#include <atomic>
#include <cassert>
#include <chrono>
#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread {

/// How fast a token bucket fills, and how much it holds.
struct TokenRate {
  /// Units a second; nothing can be taken at zero or less.
  double per_second = 0;
  /// How long an empty bucket takes to fill.
  Duration burst = std::chrono::seconds(1);
};

/// A token bucket that starts full. Over any time T it gives out at most
/// `per_second` x (T + `burst`) units. Kept as one atomic, the time at which
/// the bucket will be full again (the generic cell rate algorithm of ITU-T
/// I.371), so that a change of rate needs no update. Thread-safe, lock-free.
class TokenBucket {
 public:
  /// Takes `amount` units, or nothing where the bucket holds fewer. An amount
  /// above a whole bucket is never given. Precondition: `amount` >= 0.
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

  /// Takes `amount` units even where the bucket holds fewer: later takers wait
  /// until the debt is paid. A negative amount gives units back; they must not
  /// have been used. Precondition: `rate.per_second` > 0.
  void Charge(double amount, const TokenRate& rate, TimePoint now) {
    assert(rate.per_second > 0);
    const std::int64_t cost = CostOf(amount, rate);
    const std::int64_t at = now.time_since_epoch().count();
    std::int64_t full = full_at_.load();
    while (!full_at_.compare_exchange_weak(full, std::max(full, at) + cost)) {
    }
  }

  /// How long until `amount` units can be taken if nobody else takes any;
  /// `Duration::max()` where never.
  Duration WaitFor(double amount, const TokenRate& rate, TimePoint now) const {
    if (!CanEverHold(amount, rate)) return Duration::max();
    const std::int64_t at = now.time_since_epoch().count();
    const std::int64_t next =
        std::max(full_at_.load(), at) + CostOf(amount, rate);
    return Duration(std::max<std::int64_t>(0, next - at - rate.burst.count()));
  }

  /// Whether the bucket is full.
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

  /// When the bucket is full again, in nanoseconds of the clock passed in.
  std::atomic<std::int64_t> full_at_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_TOKEN_BUCKET_H_
