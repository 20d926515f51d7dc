#ifndef BRIARSPREAD_ADMISSION_RATE_LIMITER_H_
#define BRIARSPREAD_ADMISSION_RATE_LIMITER_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/core/token_bucket.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// Settings of a `RateLimiter`.
struct RateLimiterSettings {
  /// Maximum number of pairs of customer and class in each shard. Needed
  /// because callers choose both names; the pairs beyond this number share one
  /// limit.
  std::size_t keys_per_shard = 4096;
  /// Time for which a permit is assumed to be held, until the first permit of a
  /// pair has been released. Used to compute retry delays.
  milliseconds assumed_hold{1000};
};

class RateLimiter;

/// Counts a request against a concurrency limit until the permit and all its
/// copies are destroyed. Has the thread safety of `std::shared_ptr`.
class RatePermit {
 public:
  RatePermit() = default;

 private:
  friend class RateLimiter;
  /// Its deleter ends the request when the last copy is destroyed; null if no
  /// limit applies.
  std::shared_ptr<void> hold_;
};

/// Limits the rate and concurrency of each customer's requests of a class, as
/// the rules set them. A limit applies to the whole fleet, and each instance
/// admits its equal share. Thread-safe; each shard has a lock, which is held
/// only for a table look-up.
class RateLimiter {
 public:
  /// Precondition: `clock` outlives this object and its permits.
  RateLimiter(const RateLimiterSettings& settings, const Clock& clock);

  /// Sets the number of instances that share the limits. Precondition: `n` > 0.
  void SetInstances(std::uint32_t n) { instances_ = n; }

  /// Admits a request if `limit` permits it, or if there is no limit. Otherwise
  /// returns `kOverloaded` with the verdict `kNotRun` and, as retry delay, the
  /// expected time until the limit permits a further request.
  Result<RatePermit> Enter(const CustomerId& customer,
                           const RequestClass& request_class,
                           const std::optional<LimitRule>& limit);

  /// Number of pairs of customer and class that are stored.
  std::size_t size() const;

  /// Number of shards; each has its own lock.
  static constexpr std::size_t kShards = 16;

 private:
  struct Key {
    CustomerId customer;
    RequestClass request_class;
    friend bool operator==(const Key&, const Key&) = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const;
  };
  /// Usage of one pair of customer and class. Shared with its permits.
  struct Usage {
    TokenBucket tokens;
    std::atomic<std::uint32_t> in_flight{0};
    /// Moving average of the time for which a permit is held, in microseconds;
    /// zero before the first release.
    std::atomic<std::uint32_t> hold_us{0};
  };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<Key, std::shared_ptr<Usage>, KeyHash> usages;
  };

  std::shared_ptr<Usage> Find(const Key& key);
  void EvictIdle(Shard& shard) const;
  std::optional<Error> AcquireToken(Usage& usage, double rate) const;
  std::optional<Error> AcquireSlot(Usage& usage,
                                   std::uint32_t max_in_flight) const;
  std::shared_ptr<void> MakeSlotHold(const std::shared_ptr<Usage>& usage) const;

  const RateLimiterSettings settings_;
  const Clock& clock_;
  /// Number of instances that share the limits.
  std::atomic<std::uint32_t> instances_{1};
  std::array<Shard, kShards> shards_;
  /// Usage that is shared by all pairs for which a shard has no space.
  std::shared_ptr<Usage> overflow_ = std::make_shared<Usage>();
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_RATE_LIMITER_H_
