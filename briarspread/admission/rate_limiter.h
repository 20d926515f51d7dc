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

/// Bounds of a rate limiter.
struct RateLimiterSettings {
  /// Pairs of customer and class that each part keeps; callers name both, so
  /// their number is bounded and those beyond share one limit.
  std::size_t keys_per_shard = 4096;
  /// When to come back where all permits are taken and none was given back yet.
  milliseconds assumed_hold{1000};
};

class RateLimiter;

/// One request that counts against a limit of concurrency until destroyed.
/// Movable. Thread-safe as a `std::shared_ptr` is.
class RatePermit {
 public:
  RatePermit() = default;

 private:
  friend class RateLimiter;
  /// Counts the request out when the last owner is gone.
  std::shared_ptr<void> hold_;
};

/// Keeps each customer's requests of a class within the rules' rate and
/// concurrency. A limit holds for the fleet: each instance grants its equal
/// part. Thread-safe; a lock for each part, held for a table look-up.
class RateLimiter {
 public:
  /// Precondition: `clock` outlives this object and its permits.
  RateLimiter(const RateLimiterSettings& settings, const Clock& clock);

  /// How many instances share the limits. Precondition: `n` > 0.
  void SetInstances(std::uint32_t n) { instances_ = n; }

  /// Admits a request under `limit`, or refuses it: `kOverloaded`, `kNotRun`,
  /// with the time until a token is there. No limit admits all.
  Result<RatePermit> Enter(const CustomerId& customer,
                           const RequestClass& request_class,
                           const std::optional<LimitRule>& limit);

  /// Pairs of customer and class known.
  std::size_t size() const;

  /// Parts with a lock each.
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
  /// What one pair has used. Shared with its permits.
  struct Usage {
    TokenBucket tokens;
    std::atomic<std::uint32_t> in_flight{0};
    /// Moving average of how long a request holds its permit, microseconds.
    std::atomic<std::uint32_t> hold_us{0};
  };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<Key, std::shared_ptr<Usage>, KeyHash> usages;
  };

  std::shared_ptr<Usage> Find(const Key& key);
  void DropIdle(Shard& shard) const;
  std::optional<Error> TakeToken(Usage& usage, double rate) const;
  std::optional<Error> TakePlace(Usage& usage, std::uint32_t most) const;
  std::shared_ptr<void> HoldPlace(const std::shared_ptr<Usage>& usage) const;

  const RateLimiterSettings settings_;
  const Clock& clock_;
  /// Instances that share the limits.
  std::atomic<std::uint32_t> instances_{1};
  /// The pairs.
  std::array<Shard, kShards> shards_;
  /// Stands for the pairs beyond the bound.
  std::shared_ptr<Usage> overflow_ = std::make_shared<Usage>();
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_RATE_LIMITER_H_
