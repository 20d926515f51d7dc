// How live requests give evidence to the crash guard, and follow its
// convictions.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/forward/sent_request.h"

namespace briarspread::forward {
namespace {

/// The fingerprint of what `SentRequest` sends.
Fingerprint SentFingerprint() {
  return FingerprintOf("h", "/x/1", "body", std::nullopt);
}

/// Records `count` independent crashes of the request that `SentRequest` sends,
/// the last one `age` ago.
void RecordCrashes(ForwardFixture& fixture, int count, milliseconds age) {
  const TimePoint last = fixture.clock.Now() - age;
  for (int i = 0; i < count; ++i) {
    const TimePoint broke = last - seconds(count - 1 - i);
    fixture.crash_guard.table().RecordCrash(
        UpstreamId("gone" + std::to_string(i)),
        {{SentFingerprint(), broke - milliseconds(20), broke}});
  }
}

/// Grants each trial that the table allows.
class LocalTrials final : public TrialSource {
 public:
  explicit LocalTrials(SuspectTable& table) : table_(table) {}
  void RequestTrial(Fingerprint request, Done done) override {
    done(table_.StartTrial(request));
  }

 private:
  SuspectTable& table_;
};

// Guards against a ban of a lookup by replicas of one zone that die together
// while it is in flight at each of them (review/13).
TEST_CASE("replicas that die together don't ban the request in flight there") {
  ForwardFixture fixture;
  std::vector<ResponderPtr> waiting;
  FakeUpstream dies(fixture.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      waiting.push_back(responder);
                    });
  std::vector<UpstreamId> zone;
  std::vector<std::unique_ptr<SentRequest>> in_flight;
  for (int i = 0; i < 3; ++i) {
    zone.emplace_back("u" + std::to_string(i));
    fixture.Add(zone.back().value(), dies);
    // Each one goes to the upstream that has nothing in flight yet.
    in_flight.push_back(
        std::make_unique<SentRequest>(fixture, RouteKind::kIdempotent, 1));
  }
  fixture.Await([&] { return waiting.size() == 3; });
  for (const auto& responder : waiting) responder->Abort();
  for (const auto& each : in_flight) each->Await();
  fixture.directory.Remove({zone[0]});
  fixture.directory.Remove({zone[1]});
  fixture.directory.Remove({zone[2]});
  FakeUpstream sound(fixture.loop,
                     RespondWith(SignedResponse(fixture.headers, 200, "a")));
  fixture.Add("sound", sound);
  SentRequest again(fixture, RouteKind::kIdempotent, 1);
  REQUIRE(again.Await().head.status == 200);
}

// Guards against answers that count only if they were buffered.
TEST_CASE("a complete stream or long response clears its request") {
  for (const bool is_stream : {true, false}) {
    ForwardFixture fixture;
    RecordCrashes(fixture, 2, seconds(1));
    const std::string body(is_stream ? 0 : std::size_t{600} * 1024, 'x');
    FakeUpstream sound(
        fixture.loop,
        is_stream ? StreamEvents(fixture.headers, 3, 9)
                  : RespondWith(SignedResponse(fixture.headers, 200, body)));
    fixture.Add("sound", sound);
    SentRequest sent(fixture,
                     is_stream ? RouteKind::kStream : RouteKind::kIdempotent);
    fixture.Await([&] { return sent.sink.has_ended; });
    REQUIRE_FALSE(fixture.crash_guard.table().has_suspects());
  }
}

TEST_CASE("only a response that tells of a run clears its request") {
  for (const auto& [status, clears] :
       {std::pair(200, true), std::pair(404, true), std::pair(500, true),
        std::pair(503, false), std::pair(504, false), std::pair(429, false)}) {
    ForwardFixture fixture;
    RecordCrashes(fixture, 2, seconds(1));
    FakeUpstream sound(fixture.loop, RespondWith(SignedResponse(fixture.headers,
                                                                status, "a")));
    fixture.Add("sound", sound);
    SentRequest sent(fixture, RouteKind::kOnce, 1);
    sent.Await();
    CAPTURE(status);
    REQUIRE(fixture.crash_guard.table().has_suspects() != clears);
  }
}

// Guards against crashes of a machine that goes dark: its connections stay open
// and no exchange fails.
TEST_CASE("a request in flight at a silent upstream that ends is a suspect") {
  for (const bool is_caller_gone : {true, false}) {
    ForwardFixture fixture;
    FakeUpstream dark(fixture.loop, NeverRespond());
    fixture.Add("dark", dark);
    SentRequest sent(fixture, RouteKind::kIdempotent, 1,
                     is_caller_gone ? seconds(20) : milliseconds(50));
    fixture.Await([&] { return !dark.requests.empty(); });
    if (is_caller_gone) {
      sent.request->Cancel();
    } else {
      REQUIRE(sent.Await().head.status == 504);
    }
    fixture.directory.Remove({UpstreamId("dark")});
    REQUIRE(fixture.crash_guard.table().CountCrashes(SentFingerprint()) == 1);
  }
}

// Guards against a refusal without a way back.
TEST_CASE(
    "a refused request is tried once, and served again if it is answered") {
  for (const bool is_due : {false, true}) {
    ForwardFixture fixture;
    LocalTrials trials(fixture.crash_guard.table());
    fixture.context.trials = &trials;
    FakeUpstream sound(fixture.loop,
                       RespondWith(SignedResponse(fixture.headers, 200, "a")));
    fixture.Add("sound", sound);
    RecordCrashes(fixture, 3, is_due ? seconds(11) : milliseconds(1));
    SentRequest first(fixture, RouteKind::kIdempotent, 2);
    REQUIRE(first.Await().head.status == (is_due ? 200 : 503));
    SentRequest next(fixture, RouteKind::kIdempotent, 2);
    REQUIRE(next.Await().head.status == (is_due ? 200 : 503));
    if (is_due) continue;
    // The caller is told when the trial is due.
    const double retry_after =
        std::stod(*next.Await().head.headers.Find("Retry-After"));
    REQUIRE(retry_after < 11);
  }
}

TEST_CASE("a trial reaches one upstream, an idle one if there is any") {
  ForwardFixture fixture;
  LocalTrials trials(fixture.crash_guard.table());
  fixture.context.trials = &trials;
  FakeUpstream busy(fixture.loop, BreakOff());
  FakeUpstream idle(fixture.loop, BreakOff());
  FakeUpstream other(fixture.loop, BreakOff());
  fixture.Add("busy", busy);
  fixture.Add("idle", idle);
  fixture.Add("other", other);
  for (const char* id : {"busy", "other"}) {
    fixture.directory.Find(UpstreamId(id))->counters->in_flight = 1;
  }
  RecordCrashes(fixture, 3, seconds(11));
  SentRequest trial(fixture, RouteKind::kIdempotent, 3);
  REQUIRE(trial.Await().head.status == 502);
  REQUIRE(idle.requests.size() == 1);
  REQUIRE(busy.requests.empty());
  REQUIRE(other.requests.empty());
  SentRequest next(fixture, RouteKind::kIdempotent, 3);
  REQUIRE(next.Await().head.status == 503);
  REQUIRE(idle.requests.size() == 1);
}

}  // namespace
}  // namespace briarspread::forward
