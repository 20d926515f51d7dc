#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "briarspread/admission/concurrency_limiter.h"
#include "briarspread/admission/rate_limiter.h"
#include "tests/support/manual_clock.h"

namespace briarspread {
namespace {

using testing::ManualClock;

LimitRule Limit(double rate, std::uint32_t concurrency) {
  LimitRule rule;
  rule.rate_per_second = rate;
  rule.concurrency = concurrency;
  return rule;
}

/// Returns the mean latency of `n` requests sent together to an upstream that
/// runs `slots` requests at the same time and queues the rest.
Duration LatencyOf(std::uint32_t n, std::uint32_t slots) {
  const Duration service = milliseconds(100);
  return n <= slots ? service : service * n / slots;
}

/// Returns the limit after 2000 rounds of requests to an upstream with `slots`
/// slots.
std::uint32_t ConvergedLimit(ConcurrencyLimiter& limiter, std::uint32_t slots) {
  for (int round = 0; round < 2000; ++round) {
    std::uint32_t n = 0;
    while (limiter.TryAcquire()) ++n;
    for (std::uint32_t i = 0; i < n; ++i) {
      limiter.Release(LimiterOutcome::kAnswered, LatencyOf(n, slots));
    }
  }
  return limiter.limit();
}

TEST_CASE("the limit converges to one to about two times the slots") {
  ConcurrencyLimiter limiter(ConcurrencyLimiterSettings{});
  const std::uint32_t settled = ConvergedLimit(limiter, 32);
  REQUIRE(settled >= 32);
  REQUIRE(settled <= 72);
}

TEST_CASE("overload lowers the limit to its minimum and not below") {
  ConcurrencyLimiter limiter(ConcurrencyLimiterSettings{});
  for (int i = 0; i < 200; ++i) {
    REQUIRE(limiter.TryAcquire());
    limiter.Release(LimiterOutcome::kOverloaded, Duration{});
  }
  REQUIRE(limiter.limit() == 1);
  REQUIRE(limiter.TryAcquire());
  REQUIRE_FALSE(limiter.TryAcquire());
}

TEST_CASE("an unused limit does not grow") {
  ConcurrencyLimiter limiter(ConcurrencyLimiterSettings{});
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(limiter.TryAcquire());
    limiter.Release(LimiterOutcome::kAnswered, milliseconds(100));
  }
  REQUIRE(limiter.limit() == 16);
}

TEST_CASE(
    "rates are limited by customer and class, with an exact retry delay") {
  ManualClock clock;
  RateLimiter limiter(RateLimiterSettings{}, clock);
  const CustomerId andes("andes");
  const RequestClass quote("quote");
  const LimitRule limit = Limit(4.0, kUnlimitedConcurrency);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(IsOk(limiter.Enter(andes, quote, limit)));
  }
  const auto refused = limiter.Enter(andes, quote, limit);
  REQUIRE_FALSE(IsOk(refused));
  REQUIRE(ErrorOf(refused).verdict == Verdict::kNotRun);
  REQUIRE(ErrorOf(refused).retry_after == milliseconds(250));
  REQUIRE(IsOk(limiter.Enter(CustomerId("other"), quote, limit)));
  REQUIRE(IsOk(limiter.Enter(andes, RequestClass("stock"), limit)));
  clock.Advance(milliseconds(249));
  REQUIRE_FALSE(IsOk(limiter.Enter(andes, quote, limit)));
  clock.Advance(milliseconds(1));
  REQUIRE(IsOk(limiter.Enter(andes, quote, limit)));
}

TEST_CASE("a rate below one per second still admits one request") {
  ManualClock clock;
  RateLimiter limiter(RateLimiterSettings{}, clock);
  limiter.SetInstances(7);
  const LimitRule limit = Limit(0.5, kUnlimitedConcurrency);
  REQUIRE(IsOk(limiter.Enter(CustomerId("a"), RequestClass("q"), limit)));
  REQUIRE_FALSE(IsOk(limiter.Enter(CustomerId("a"), RequestClass("q"), limit)));
}

TEST_CASE("concurrency counts permits, and a refusal uses no token") {
  ManualClock clock;
  RateLimiter limiter(RateLimiterSettings{}, clock);
  const CustomerId customer("a");
  const RequestClass quote("quote");
  const LimitRule limit = Limit(3.0, 2);
  auto one = limiter.Enter(customer, quote, limit);
  auto two = limiter.Enter(customer, quote, limit);
  REQUIRE(IsOk(two));
  for (int i = 0; i < 10; ++i) {
    const auto refused = limiter.Enter(customer, quote, limit);
    REQUIRE_FALSE(IsOk(refused));
    REQUIRE(ErrorOf(refused).retry_after == milliseconds(500));
  }
  clock.Advance(milliseconds(10));
  two = Error{};
  REQUIRE(IsOk(limiter.Enter(customer, quote, limit)));
}

TEST_CASE("the number of stored customers is limited") {
  ManualClock clock;
  RateLimiter limiter(RateLimiterSettings{4, milliseconds(1000)}, clock);
  const LimitRule limit = Limit(1.0, 1);
  for (int i = 0; i < 10'000; ++i) {
    limiter.Enter(CustomerId(std::to_string(i)), RequestClass("q"), limit);
  }
  REQUIRE(limiter.size() <= 4 * RateLimiter::kShards);
}

TEST_CASE("all instances together keep the rate of the fleet") {
  rc::prop("at most rate x (time + burst) requests are admitted", [] {
    ManualClock clock;
    const auto instances = *rc::gen::inRange(1U, 8U);
    std::vector<std::unique_ptr<RateLimiter>> limiters;
    for (unsigned i = 0; i < instances; ++i) {
      limiters.push_back(
          std::make_unique<RateLimiter>(RateLimiterSettings{}, clock));
      limiters.back()->SetInstances(instances);
    }
    const TimePoint start = clock.Now();
    int admitted = 0;
    for (int i = 0; i < 400; ++i) {
      clock.Advance(milliseconds(*rc::gen::inRange(0, 30)));
      RateLimiter& limiter = *limiters[*rc::gen::inRange(0U, instances)];
      if (IsOk(limiter.Enter(CustomerId("a"), RequestClass("q"),
                             Limit(20.0, kUnlimitedConcurrency)))) {
        ++admitted;
      }
    }
    const std::chrono::duration<double> elapsed = clock.Now() - start;
    RC_ASSERT(admitted <= 20.0 * (elapsed.count() + 1.0) + 1e-6);
  });
}

}  // namespace
}  // namespace briarspread
