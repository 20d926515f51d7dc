#include <catch2/catch.hpp>

#include "briarspread/forward/limit_exchange.h"
#include "briarspread/forward/rate_reservations.h"
#include "tests/forward/forward_fixture.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;
using Change = UpstreamLimits::Change;

const UpstreamId kId("u");
const UpstreamStart kStart{kId, 5};
constexpr RequestRate kTwo(2);

TEST_CASE("a rate is a finite decimal number that is not negative") {
  REQUIRE(ParseRequestRate("4.25") == RequestRate(4.25));
  REQUIRE(ParseRequestRate("0") == RequestRate(0));
  for (const char* text : {"", "x", "-1", "inf", "nan", "1e3", "2 ", "0x2"}) {
    REQUIRE_FALSE(ParseRequestRate(text).has_value());
  }
}

TEST_CASE("a limit holds until a later request is answered without it") {
  ManualClock clock;
  UpstreamLimits limits(UpstreamLimitsSettings{}, clock);
  const TimePoint before = clock.Now();
  clock.Advance(seconds(1));
  REQUIRE(limits.RecordResponse(kStart, kTwo, before) == Change::kNamed);
  REQUIRE(limits.RecordResponse(kStart, kTwo, before) == Change::kNone);
  // Sent before the limit was named, answered after it.
  REQUIRE(limits.RecordResponse(kStart, std::nullopt, before) == Change::kNone);
  REQUIRE(limits.Find(kId) == kTwo);
  clock.Advance(seconds(1));
  REQUIRE(limits.RecordResponse(kStart, RequestRate(3), clock.Now()) ==
          Change::kChanged);
  clock.Advance(seconds(1));
  REQUIRE(limits.RecordResponse(kStart, std::nullopt, clock.Now()) ==
          Change::kEnded);
  REQUIRE_FALSE(limits.Find(kId).has_value());
}

TEST_CASE("a limit belongs to one start; notices of earlier starts are old") {
  ManualClock clock;
  UpstreamLimits limits(UpstreamLimitsSettings{}, clock);
  limits.RecordPeerNotice(kStart, kTwo);
  REQUIRE(limits.RecordPeerNotice({kId, 4}, RequestRate(9)) == Change::kNone);
  REQUIRE(limits.RecordPeerNotice({kId, 4}, std::nullopt) == Change::kNone);
  REQUIRE(limits.Find(kId) == kTwo);
  clock.Advance(seconds(1));
  REQUIRE(limits.RecordResponse({kId, 6}, std::nullopt, clock.Now()) ==
          Change::kEnded);
}

TEST_CASE("reservations keep the limit in any time, also after a pause") {
  constexpr int kAskers = 400;
  ManualClock clock;
  RateReservations reservations(RateReservationsSettings{}, clock);
  std::vector<TimePoint> granted;
  const auto ask = [&] {
    for (int i = 0; i < kAskers; ++i) {
      const auto got = reservations.Reserve(kStart, kTwo, seconds(1));
      if (got.is_granted) granted.push_back(clock.Now() + got.wait);
    }
  };
  for (int i = 0; i < 100; ++i) {
    ask();
    clock.Advance(i == 50 ? seconds(30) : milliseconds(100));
  }
  REQUIRE(granted.size() > 20);
  for (std::size_t i = 1; i < granted.size(); ++i) {
    REQUIRE(granted[i] - granted[i - 1] >= milliseconds(500));
  }
}

TEST_CASE("those who get no reservation are told to come back one at a time") {
  ManualClock clock;
  RateReservations reservations(RateReservationsSettings{}, clock);
  Duration last{0};
  for (int i = 0; i < 10; ++i) {
    const auto got = reservations.Reserve(kStart, kTwo, milliseconds(0));
    REQUIRE_FALSE(got.is_granted);
    REQUIRE(got.wait > last);
    last = got.wait;
  }
  // A limit of zero still lets a request through, whose response shows its end.
  clock.Advance(seconds(60));
  REQUIRE(reservations.Reserve(kStart, RequestRate(0), seconds(0)).is_granted);
}

/// Grants or denies permits when told to.
struct ManualSource final : PermitSource {
  void RequestPermit(const PermitRequest&, Done done) override {
    requests.push_back(std::move(done));
  }
  void Answer(bool is_granted) {
    const Done done = std::move(requests.front());
    requests.erase(requests.begin());
    done({is_granted, seconds(1)});
  }
  std::vector<Done> requests;
};

struct LimiterFixture {
  LimiterFixture() : limiter(RequestLimiterSettings{}, clock) {
    limiter.SetPermitSource(source);
    limiter.RecordPeerNotice({kStart, kTwo});
  }
  bool Take(RequestPurpose purpose = RequestPurpose::kItem) {
    return limiter.TakePermit(kId, purpose);
  }
  ManualClock clock;
  ManualSource source;
  RequestLimiter limiter;
};

TEST_CASE("a permit is for one request, one purpose and a short time") {
  LimiterFixture fixture;
  REQUIRE(fixture.limiter.TakePermit(UpstreamId("v"), RequestPurpose::kItem));
  REQUIRE_FALSE(fixture.Take());
  REQUIRE_FALSE(fixture.Take());
  REQUIRE(fixture.source.requests.size() == 1);
  fixture.source.Answer(true);
  REQUIRE_FALSE(fixture.Take(RequestPurpose::kControl));
  REQUIRE(fixture.Take());
  REQUIRE_FALSE(fixture.Take());
  fixture.source.Answer(true);
  fixture.source.Answer(true);
  fixture.clock.Advance(fixture.limiter.settings().permit_validity +
                        milliseconds(1));
  REQUIRE_FALSE(fixture.Take());
  REQUIRE_FALSE(fixture.Take(RequestPurpose::kControl));
}

TEST_CASE("a permit that was denied is requested again after the time told") {
  LimiterFixture fixture;
  REQUIRE_FALSE(fixture.Take());
  fixture.source.Answer(false);
  REQUIRE_FALSE(fixture.Take());
  REQUIRE(fixture.source.requests.empty());
  fixture.clock.Advance(seconds(1));
  REQUIRE_FALSE(fixture.Take());
  REQUIRE(fixture.source.requests.size() == 1);
}

TEST_CASE("waiting requests get permits in the order in which they came") {
  LimiterFixture fixture;
  std::vector<int> served;
  std::vector<std::shared_ptr<RequestLimiter::Waiter>> waiters(3);
  for (int i = 0; i < 3; ++i) {
    REQUIRE_FALSE(fixture.Take(RequestPurpose::kLive));
    waiters[i] = fixture.limiter.Wait({kId}, [&, i] {
      if (!fixture.Take(RequestPurpose::kLive)) return;
      served.push_back(i);
      waiters[i].reset();
    });
  }
  while (!fixture.source.requests.empty()) fixture.source.Answer(true);
  REQUIRE(served == std::vector<int>{0, 1, 2});
}

TEST_CASE("notices and permit requests are restored from their JSON") {
  const auto notices = ParseLimitNotices(EncodeLimitNotices(
      {{kStart, kTwo}, {{UpstreamId("v"), 1}, std::nullopt}}));
  REQUIRE(notices.has_value());
  REQUIRE(notices->at(0).start == kStart);
  REQUIRE(notices->at(0).rate == kTwo);
  REQUIRE_FALSE(notices->at(1).rate.has_value());
  const auto request =
      ParsePermitRequest(EncodePermitRequest({kStart, kTwo, seconds(1)}));
  REQUIRE(request->start == kStart);
  REQUIRE(request->rate == kTwo);
  REQUIRE(request->max_wait == seconds(1));
  for (const char* text :
       {"", "{}", "[1]", R"([{"id":"a"}])", R"({"id":"a","start":1})",
        R"([{"id":"a","start":1,"per_second":-1}])",
        R"({"id":"a","start":1,"per_second":"x","max_wait_ms":1})"}) {
    REQUIRE_FALSE(ParsePermitRequest(text).has_value());
    REQUIRE_FALSE(ParseLimitNotices(text).has_value());
  }
}

}  // namespace
}  // namespace briarspread::forward
