#include "briarspread/admission/rate_limiter.h"

#include <algorithm>
#include <limits>
#include <string>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

/// Maximum time for which unused tokens accumulate. `RateOf` makes it longer
/// for low rates, so that at least one request is possible.
constexpr Duration kBurst = seconds(1);
/// The newest sample has a weight of 1 / `kMovingAverageDivisor` in the moving
/// average.
constexpr std::int64_t kMovingAverageDivisor = 8;
/// Maximum retry delay.
constexpr milliseconds kMaxRetryDelay{3'600'000};

TokenRate RateOf(double per_second) {
  const auto time_per_token =
      Duration(static_cast<std::int64_t>(1e9 / per_second) + 1);
  return TokenRate{per_second, std::max(kBurst, time_per_token)};
}

Error Refusal(const char* what, Duration wait) {
  const auto rounded =
      std::chrono::ceil<milliseconds>(std::min(wait, Duration(kMaxRetryDelay)));
  return Error{ErrorCode::kOverloaded, Verdict::kNotRun,
               std::string("the limit of ") + what + " is reached",
               std::max(rounded, milliseconds(1))};
}

}  // namespace

std::size_t RateLimiter::KeyHash::operator()(const Key& key) const {
  return StableHash(key.customer.value(),
                    StableHash(key.request_class.value()));
}

RateLimiter::RateLimiter(const RateLimiterSettings& settings,
                         const Clock& clock)
    : settings_(settings), clock_(clock) {}

Result<RatePermit> RateLimiter::Enter(const CustomerId& customer,
                                      const RequestClass& request_class,
                                      const std::optional<LimitRule>& limit) {
  RatePermit permit;
  if (!limit.has_value()) return permit;
  const std::shared_ptr<Usage> usage = Find({customer, request_class});
  const std::uint32_t instances = instances_.load();
  // Each instance admits at least one request at a time: if the limit is below
  // the number of instances, the load balancer may still send a customer's
  // request to any instance.
  const std::uint32_t max_in_flight =
      std::max(1U, limit->concurrency / instances);
  const double rate = limit->rate_per_second / instances;
  const bool has_rate = limit->rate_per_second < kUnlimitedRate;
  if (has_rate) {
    if (const auto refused = AcquireToken(*usage, rate)) return *refused;
  }
  if (const auto refused = AcquireSlot(*usage, max_in_flight)) {
    // The request does not run, so its token is returned.
    if (has_rate) usage->tokens.Charge(-1.0, RateOf(rate), clock_.Now());
    return *refused;
  }
  permit.hold_ = MakeSlotHold(usage);
  return permit;
}

std::optional<Error> RateLimiter::AcquireSlot(
    Usage& usage, std::uint32_t max_in_flight) const {
  std::uint32_t taken = usage.in_flight.load();
  while (taken < max_in_flight) {
    if (usage.in_flight.compare_exchange_weak(taken, taken + 1)) {
      return std::nullopt;
    }
  }
  const std::uint32_t measured = usage.hold_us.load();
  const Duration hold = measured == 0
                            ? Duration(settings_.assumed_hold)
                            : Duration(std::chrono::microseconds(measured));
  // With `taken` requests in flight, one ends every hold / taken.
  return Refusal("concurrency", hold / taken);
}

std::optional<Error> RateLimiter::AcquireToken(Usage& usage,
                                               double rate) const {
  const TimePoint now = clock_.Now();
  const TokenRate token_rate = RateOf(rate);
  if (usage.tokens.TryTake(1.0, token_rate, now)) return std::nullopt;
  return Refusal("rate", usage.tokens.TimeUntilAvailable(1.0, token_rate, now));
}

std::shared_ptr<void> RateLimiter::MakeSlotHold(
    const std::shared_ptr<Usage>& usage) const {
  const TimePoint started = clock_.Now();
  return {usage.get(), [usage, started, &clock = clock_](void* /*unused*/) {
            --usage->in_flight;
            const std::int64_t us =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    clock.Now() - started)
                    .count();
            const std::int64_t sample = std::clamp<std::int64_t>(
                us, 1, std::numeric_limits<std::uint32_t>::max());
            const std::int64_t old = usage->hold_us.load();
            const std::int64_t next =
                old == 0 ? sample
                         : old + (sample - old) / kMovingAverageDivisor;
            usage->hold_us = static_cast<std::uint32_t>(next);
          }};
}

std::shared_ptr<RateLimiter::Usage> RateLimiter::Find(const Key& key) {
  Shard& shard = shards_[KeyHash{}(key) % kShards];
  std::lock_guard lock(shard.mutex);
  const auto it = shard.usages.find(key);
  if (it != shard.usages.end()) return it->second;
  if (shard.usages.size() >= settings_.keys_per_shard) EvictIdle(shard);
  if (shard.usages.size() >= settings_.keys_per_shard) return overflow_;
  return shard.usages.emplace(key, std::make_shared<Usage>()).first->second;
}

void RateLimiter::EvictIdle(Shard& shard) const {
  const TimePoint now = clock_.Now();
  std::erase_if(shard.usages, [now](const auto& entry) {
    const Usage& usage = *entry.second;
    return usage.in_flight.load() == 0 && usage.tokens.IsFull(now);
  });
}

std::size_t RateLimiter::size() const {
  std::size_t total = 0;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    total += shard.usages.size();
  }
  return total;
}

}  // namespace briarspread
