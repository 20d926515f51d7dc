#include "briarspread/forward/crash_guard.h"

#include <catch2/catch.hpp>

#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/suspect_exchange.h"
#include "tests/forward/forward_fixture.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

const Fingerprint kCrashing(1);
const Fingerprint kHarmless(2);

UpstreamStart Start(int n) { return {UpstreamId("u" + std::to_string(n)), 1}; }

struct CrashGuardFixture {
  explicit CrashGuardFixture(const std::string& name = "one")
      : guard(CrashGuardSettings{}, InstanceId(name), clock) {}
  /// Records an exchange that breaks off at an upstream, and then the end of
  /// the upstream.
  void Crash(int upstream, Fingerprint request) {
    guard.RecordBrokenExchange(Start(upstream), request, clock.Now());
    guard.OnUpstreamEnd(Start(upstream));
  }
  bool IsRefused(Fingerprint request) const {
    return guard.table().IsRefused(request);
  }
  ManualClock clock;
  CrashGuard guard;
};

TEST_CASE("a request that crashed three upstreams is refused") {
  CrashGuardFixture one;
  for (int i = 0; i < 2; ++i) one.Crash(i, kCrashing);
  REQUIRE_FALSE(one.IsRefused(kCrashing));
  one.Crash(2, kCrashing);
  REQUIRE(one.IsRefused(kCrashing));
  REQUIRE_FALSE(one.IsRefused(kHarmless));
}

TEST_CASE("a broken exchange alone does not count against its request") {
  CrashGuardFixture one;
  for (int i = 0; i < 9; ++i) {
    one.guard.RecordBrokenExchange(Start(i), kHarmless, one.clock.Now());
  }
  REQUIRE_FALSE(one.guard.table().has_suspects());
  // The upstreams end after the confirmation time, so this does not count
  // either.
  one.clock.Advance(CrashGuardSettings{}.confirm_time + seconds(1));
  for (int i = 0; i < 9; ++i) one.guard.OnUpstreamEnd(Start(i));
  REQUIRE_FALSE(one.IsRefused(kHarmless));
}

TEST_CASE("a complete response clears a request of earlier crashes") {
  CrashGuardFixture one;
  for (int i = 0; i < 3; ++i) {
    one.guard.RecordBrokenExchange(Start(i), kHarmless, one.clock.Now());
    one.Crash(i, kCrashing);
    one.clock.Advance(seconds(20));
    one.guard.table().RecordAnswer(kHarmless);
  }
  REQUIRE(one.IsRefused(kCrashing));
  REQUIRE_FALSE(one.IsRefused(kHarmless));
}

// Guards against a ban by replicas that die at the same moment with the same
// request in flight (review/13).
TEST_CASE("upstreams that end at one moment count as one crash") {
  CrashGuardFixture one;
  const TimePoint sent = one.clock.Now();
  one.clock.Advance(milliseconds(30));
  for (int i = 0; i < 5; ++i) {
    one.guard.RecordBrokenExchange(Start(i), kHarmless, sent);
  }
  one.clock.Advance(seconds(4));
  for (int i = 0; i < 5; ++i) one.guard.OnUpstreamEnd(Start(i));
  REQUIRE(one.guard.table().CountCrashes(kHarmless) == 1);
}

TEST_CASE("a crash that several instances report counts once") {
  CrashGuardFixture one("one");
  CrashGuardFixture two("two");
  for (int i = 0; i < 2; ++i) {
    one.Crash(i, kCrashing);
    two.Crash(i, kCrashing);
  }
  one.guard.table().Merge(two.guard.table().All());
  REQUIRE_FALSE(one.IsRefused(kCrashing));
}

TEST_CASE("an exchange counts for the start that it was sent to only") {
  CrashGuardFixture one;
  one.guard.RecordBrokenExchange({UpstreamId("u"), 2}, kCrashing,
                                 one.clock.Now());
  one.guard.OnUpstreamEnd({UpstreamId("u"), 1});
  REQUIRE_FALSE(one.guard.table().has_suspects());
  one.guard.OnUpstreamEnd({UpstreamId("u"), 2});
  REQUIRE(one.guard.table().CountCrashes(kCrashing) == 1);
}

// Guards against crashes counted where a registration had only lapsed, since
// the store or the upstream's link to it was away.
TEST_CASE(
    "an upstream that is listed again with the same start has not ended") {
  CrashGuardFixture one;
  for (int i = 0; i < 3; ++i) one.Crash(i, kHarmless);
  REQUIRE(one.IsRefused(kHarmless));
  one.clock.Advance(seconds(2));
  one.guard.OnUpstreamListed(Start(1));
  REQUIRE(one.guard.table().CountCrashes(kHarmless) == 2);
  // A later start of the same upstream takes nothing back.
  one.guard.OnUpstreamListed({UpstreamId("u0"), 2});
  REQUIRE(one.guard.table().CountCrashes(kHarmless) == 2);
}

/// Two instances whose evidence is exchanged over loopback.
struct ExchangeFixture {
  struct Instance final : CrashGuardFixture, proxy::RequestHandler {
    Instance(ExchangeFixture& fixture, const std::string& name)
        : CrashGuardFixture(name),
          exchange(
              fixture.base.loop, guard.table(), fixture.peers,
              fixture.base.random, [this] { return peer_list; },
              [this](Fingerprint) { return granter; },
              NoticeExchangeSettings{}),
          listener(fixture.base.loop, *this) {
      REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
    }
    void OnRequest(proxy::Request request,
                   std::shared_ptr<proxy::Responder> responder) override {
      REQUIRE(exchange.TryAnswer(request, responder));
    }
    Endpoint endpoint() const { return {"127.0.0.1", listener.port()}; }

    std::vector<Endpoint> peer_list;
    std::optional<Endpoint> granter;
    SuspectExchange exchange;
    proxy::HttpListener listener;
  };

  ExchangeFixture() : peers(base.loop), one(*this, "one"), two(*this, "two") {
    one.peer_list = {two.endpoint()};
    two.peer_list = {one.endpoint()};
  }
  void Advance(Duration time) {
    one.clock.Advance(time);
    two.clock.Advance(time);
  }

  ForwardFixture base;
  PeerClient peers;
  Instance one;
  Instance two;
};

TEST_CASE("crashes reported by another instance add to an instance's own") {
  ExchangeFixture fixture;
  fixture.one.peer_list = {fixture.two.endpoint()};
  fixture.two.peer_list = {};
  fixture.two.Crash(0, kCrashing);
  // Longer than the margin for crashes that two instances observed.
  fixture.Advance(seconds(1));
  fixture.one.Crash(1, kCrashing);
  fixture.one.Crash(2, kCrashing);
  fixture.base.Await([&] { return fixture.two.IsRefused(kCrashing); });
  REQUIRE_FALSE(fixture.one.IsRefused(kCrashing));
}

// Guards against review/15: a started instance asked nobody, and one that was
// paused had missed what was told once.
TEST_CASE("an instance asks for crashes at its start, and when told to") {
  ExchangeFixture fixture;
  fixture.two.peer_list = {};
  for (int i = 0; i < 3; ++i) fixture.two.Crash(i, kCrashing);
  fixture.one.exchange.OnInstancesChanged();
  fixture.base.Await(
      [&] { return fixture.one.exchange.is_initial_query_done(); });
  REQUIRE(fixture.one.IsRefused(kCrashing));
  for (int i = 3; i < 6; ++i) fixture.two.Crash(i, kHarmless);
  fixture.one.exchange.QueryAgain();
  fixture.base.Await([&] { return fixture.one.IsRefused(kHarmless); });
}

TEST_CASE("an answer at one instance ends the refusal at the other") {
  ExchangeFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.one.Crash(i, kCrashing);
  fixture.base.Await([&] { return fixture.two.IsRefused(kCrashing); });
  fixture.Advance(milliseconds(1));
  fixture.two.guard.table().RecordAnswer(kCrashing);
  fixture.base.Await([&] { return !fixture.one.IsRefused(kCrashing); });
}

TEST_CASE("one instance grants a trial for all, and once") {
  ExchangeFixture fixture;
  fixture.two.granter = fixture.one.endpoint();
  for (int i = 0; i < 3; ++i) fixture.one.Crash(i, kCrashing);
  fixture.base.Await([&] { return fixture.two.IsRefused(kCrashing); });
  const auto ask = [&](ExchangeFixture::Instance& instance) {
    std::optional<bool> is_granted;
    instance.exchange.RequestTrial(kCrashing,
                                   [&](bool it) { is_granted = it; });
    fixture.base.Await([&] { return is_granted.has_value(); });
    return *is_granted;
  };
  REQUIRE_FALSE(ask(fixture.two));
  fixture.Advance(seconds(20));
  REQUIRE(ask(fixture.two));
  REQUIRE_FALSE(ask(fixture.two));
  REQUIRE_FALSE(ask(fixture.one));
  // Nobody tries while the granting instance can't be asked.
  fixture.Advance(seconds(1000));
  fixture.two.granter = Endpoint{"127.0.0.1", 1};
  REQUIRE_FALSE(ask(fixture.two));
}

TEST_CASE(
    "the fingerprint of a request names what is retried, and its account") {
  proxy::Request request;
  request.head.target = "/a";
  request.head.headers.Add("Host", "h");
  request.head.headers.Add("Id", "1");
  request.body = "body";
  const auto of = [](const proxy::Request& it) {
    return FingerprintOf(it, std::nullopt);
  };
  proxy::Request again = request;
  again.head.headers.Set("Id", "2");
  REQUIRE(of(request) == of(again));
  again.body = "other";
  REQUIRE(of(request) != of(again));
  const Fingerprint of_one = FingerprintOf(request, accounts::AccountId("one"));
  REQUIRE(of_one != of(request));
  REQUIRE(of_one != FingerprintOf(request, accounts::AccountId("two")));
}

}  // namespace
}  // namespace briarspread::forward
