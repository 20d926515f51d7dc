#include "briarspread/contracts/retry_policy.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "briarspread/contracts/hedge_policy.h"
#include "tests/support/manual_clock.h"

namespace briarspread::testing {
namespace {

TEST_CASE("a request is retried only if its verdict allows it") {
  rc::prop("retries", [](bool idempotent) {
    const auto verdict = *rc::gen::element(Verdict::kAnswered, Verdict::kNotRun,
                                           Verdict::kMayHaveRun);
    ManualClock clock;
    SeededRandom random(1);
    RetrySettings settings;
    RetryPolicy policy(settings, clock, random);
    const int attempts = *rc::gen::inRange(1, 6);
    const milliseconds left(*rc::gen::inRange(0, 2000));
    const auto delay =
        policy.NextDelay({verdict, idempotent, attempts, clock.Now() + left});
    if (!delay.has_value()) return;
    RC_ASSERT(verdict != Verdict::kAnswered);
    RC_ASSERT(IsRetryable(verdict, idempotent));
    RC_ASSERT(attempts < settings.max_attempts);
    RC_ASSERT(*delay < left);
    RC_ASSERT(*delay <= settings.max_backoff);
  });
}

TEST_CASE("retries stay within their fraction of requests") {
  rc::prop("retry budget", [] {
    ManualClock clock;
    SeededRandom random(1);
    const RetrySettings settings;
    RetryPolicy policy(settings, clock, random);
    const int requests = *rc::gen::inRange(0, 2000);
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
      policy.OnRequest();
      const AttemptState failed{Verdict::kNotRun, false, 1,
                                clock.Now() + seconds(10)};
      if (policy.NextDelay(failed).has_value()) ++retries;
    }
    RC_ASSERT(retries <=
              settings.budget_fraction * requests + settings.budget_burst);
    RC_ASSERT(retries >= std::min(requests, 10));
  });
}

TEST_CASE("hedges wait for the latency quantile and stay within their budget") {
  HedgePolicy policy(HedgeSettings{0.95, 100, 0.05, 1000});
  REQUIRE_FALSE(policy.HedgeDelay().has_value());
  for (int i = 1; i <= 1000; ++i) policy.OnResponse(milliseconds(i % 100));
  REQUIRE(policy.HedgeDelay() > milliseconds(85));
  REQUIRE(policy.HedgeDelay() < milliseconds(100));
  const TimePoint now{seconds(1)};
  const TimePoint later{seconds(2)};
  REQUIRE_FALSE(policy.TryHedge(false, TokenCount(1), now, later));
  REQUIRE_FALSE(policy.TryHedge(true, TokenCount(1), later, later));
  std::uint64_t spent = 0;
  for (int i = 0; i < 10'000; ++i) {
    policy.OnRequest(TokenCount(100));
    if (policy.TryHedge(true, TokenCount(100), now, later)) spent += 100;
  }
  REQUIRE(spent <= 51'000);
  REQUIRE(spent >= 50'000);
}

}  // namespace
}  // namespace briarspread::testing
