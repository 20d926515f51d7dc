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

UpstreamId Id(int n) { return UpstreamId("u" + std::to_string(n)); }

struct CrashGuardFixture {
  explicit CrashGuardFixture(const std::string& name = "one")
      : guard(CrashGuardSettings{}, ProcessId{InstanceId(name), Incarnation(1)},
              clock) {}
  /// Records an exchange that breaks off at an upstream, and then the end of
  /// the upstream.
  void Crash(int upstream, Fingerprint request) {
    guard.RecordBrokenExchange(Id(upstream), request);
    guard.OnUpstreamEnd(Id(upstream), 1);
  }
  ManualClock clock;
  CrashGuard guard;
};

TEST_CASE("a request that crashed three upstreams is refused") {
  CrashGuardFixture one;
  for (int i = 0; i < 2; ++i) one.Crash(i, kCrashing);
  REQUIRE_FALSE(one.guard.ShouldRefuse(kCrashing));
  one.Crash(2, kCrashing);
  REQUIRE(one.guard.ShouldRefuse(kCrashing));
  REQUIRE_FALSE(one.guard.ShouldRefuse(kHarmless));
}

TEST_CASE("a broken exchange alone does not count against its request") {
  CrashGuardFixture one;
  for (int i = 0; i < 9; ++i) one.guard.RecordBrokenExchange(Id(i), kHarmless);
  REQUIRE_FALSE(one.guard.has_suspects());
  // The upstreams end after the confirmation time, so this does not count
  // either.
  one.clock.Advance(CrashGuardSettings{}.confirm_time + seconds(1));
  for (int i = 0; i < 9; ++i) one.guard.OnUpstreamEnd(Id(i), 1);
  REQUIRE_FALSE(one.guard.ShouldRefuse(kHarmless));
}

TEST_CASE("a complete response clears a request of earlier crashes") {
  CrashGuardFixture one;
  for (int i = 0; i < 3; ++i) {
    one.guard.RecordBrokenExchange(Id(i), kHarmless);
    one.Crash(i, kCrashing);
    one.clock.Advance(seconds(20));
    one.guard.RecordCompleteResponse(kHarmless);
  }
  REQUIRE(one.guard.ShouldRefuse(kCrashing));
  REQUIRE_FALSE(one.guard.ShouldRefuse(kHarmless));
}

TEST_CASE("a crash that several instances report counts once") {
  CrashGuardFixture one("one");
  CrashGuardFixture two("two");
  for (int i = 0; i < 2; ++i) {
    one.Crash(i, kCrashing);
    two.Crash(i, kCrashing);
  }
  one.guard.Merge(two.guard.Digest());
  REQUIRE_FALSE(one.guard.ShouldRefuse(kCrashing));
}

TEST_CASE("crashes reported by another instance add to an instance's own") {
  ForwardFixture fixture;
  PeerClient peers(fixture.loop);
  CrashGuardFixture one("one");
  CrashGuardFixture two("two");
  struct Handler final : proxy::RequestHandler {
    void OnRequest(proxy::Request request,
                   std::shared_ptr<proxy::Responder> responder) override {
      REQUIRE(exchange->TryAnswer(request, responder));
    }
    SuspectExchange* exchange = nullptr;
  } handler;
  proxy::HttpListener listener(fixture.loop, handler);
  REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  const Endpoint at{"127.0.0.1", listener.port()};
  const SuspectExchangeSettings settings{milliseconds(1)};
  SuspectExchange from_one(
      fixture.loop, one.guard, peers, [at] { return std::vector{at}; },
      settings);
  SuspectExchange to_two(
      fixture.loop, two.guard, peers, [] { return std::vector<Endpoint>{}; },
      settings);
  handler.exchange = &to_two;
  two.Crash(0, kCrashing);
  one.Crash(1, kCrashing);
  one.Crash(2, kCrashing);
  fixture.Await([&] { return two.guard.ShouldRefuse(kCrashing); });
  REQUIRE_FALSE(one.guard.ShouldRefuse(kCrashing));
}

TEST_CASE("the fingerprint of a request is independent of who sends it") {
  proxy::Request request;
  request.head.target = "/a";
  request.head.headers.Add("Host", "h");
  request.head.headers.Add("Id", "1");
  request.body = "body";
  proxy::Request again = request;
  again.head.headers.Set("Id", "2");
  REQUIRE(FingerprintOf(request) == FingerprintOf(again));
  again.body = "other";
  REQUIRE(FingerprintOf(request) != FingerprintOf(again));
}

}  // namespace
}  // namespace briarspread::forward
