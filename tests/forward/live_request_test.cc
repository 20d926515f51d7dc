#include "briarspread/forward/live_request.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/forward/sent_request.h"

namespace briarspread::forward {
namespace {

TEST_CASE("a response is passed on, and the upstream gets the remaining time") {
  ForwardFixture fixture;
  FakeUpstream upstream(fixture.loop,
                        RespondWith(SignedResponse(fixture.headers, 200, "a")));
  fixture.Add("u", upstream);
  SentRequest sent(fixture, RouteKind::kIdempotent);
  REQUIRE(sent.Await().body == "a");
  const auto& headers = upstream.requests.at(0).head.headers;
  REQUIRE(*headers.Find(fixture.headers.expected_upstream) == "u");
  REQUIRE(*headers.FindNumber(fixture.headers.deadline) <= 20000);
  REQUIRE(*headers.Find(fixture.headers.attempt_id) == "id-1");
  REQUIRE(upstream.requests[0].body == "body");
}

TEST_CASE(
    "a refused request is retried at another upstream, idempotent or not") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kOnce}) {
    ForwardFixture fixture;
    FakeUpstream full(fixture.loop,
                      RespondWith(NotRunResponse(fixture.headers)));
    FakeUpstream free(fixture.loop,
                      RespondWith(SignedResponse(fixture.headers, 200, "a")));
    fixture.Add("full", full);
    fixture.Add("free", free);
    SentRequest sent(fixture, kind, 1);
    REQUIRE(sent.Await().body == "a");
  }
}

TEST_CASE("a broken exchange is retried for an idempotent request only") {
  for (const bool is_idempotent : {true, false}) {
    ForwardFixture fixture;
    FakeUpstream breaks(fixture.loop, BreakOff());
    FakeUpstream also(fixture.loop, BreakOff());
    fixture.Add("a", breaks);
    fixture.Add("b", also);
    SentRequest sent(fixture,
                     is_idempotent ? RouteKind::kIdempotent : RouteKind::kOnce);
    // Not 503, because the request may have run.
    REQUIRE(sent.Await().head.status == 502);
    REQUIRE(breaks.requests.size() + also.requests.size() ==
            (is_idempotent ? 2 : 1));
  }
}

TEST_CASE("a successful response without a signature is rejected") {
  ForwardFixture fixture;
  FakeUpstream forged(fixture.loop, RespondWith(proxy::MakeResponse(200, "x")));
  FakeUpstream sound(fixture.loop,
                     RespondWith(SignedResponse(fixture.headers, 200, "a")));
  fixture.Add("forged", forged);
  fixture.Add("sound", sound);
  SentRequest sent(fixture, RouteKind::kIdempotent, 3);
  REQUIRE(sent.Await().body == "a");
}

TEST_CASE("an upstream's error response is passed on if no retry succeeds") {
  ForwardFixture fixture;
  FakeUpstream fails(fixture.loop,
                     RespondWith(SignedResponse(fixture.headers, 500, "why")));
  fixture.Add("a", fails);
  SentRequest sent(fixture, RouteKind::kIdempotent, 2);
  REQUIRE(sent.Await().head.status == 500);
  REQUIRE(sent.sink.answer->body == "why");
  REQUIRE(sent.request->upstream_errors() == 2);
}

TEST_CASE(
    "an endless refusal or error response is aborted and retried elsewhere") {
  for (const int status : {500, 503}) {
    ForwardFixture fixture;
    proxy::Response bad = status == 503
                              ? NotRunResponse(fixture.headers)
                              : SignedResponse(fixture.headers, status, "");
    FakeUpstream endless(
        fixture.loop,
        RespondEndlessly(fixture.loop, bad.head, std::string(16384, 'x')));
    FakeUpstream sound(fixture.loop,
                       RespondWith(SignedResponse(fixture.headers, 200, "ok")));
    fixture.Add("a", endless);
    SentRequest sent(fixture, RouteKind::kIdempotent);
    fixture.Await([&] { return endless.requests.size() == 1; });
    fixture.Add("b", sound);
    REQUIRE(sent.Await().body == "ok");
    REQUIRE_FALSE(sent.sink.head.has_value());
  }
}

TEST_CASE("a request with an endless refusal as response counts as not run") {
  ForwardFixture fixture;
  FakeUpstream endless(
      fixture.loop,
      RespondEndlessly(fixture.loop, NotRunResponse(fixture.headers).head,
                       std::string(16384, 'x')));
  fixture.Add("a", endless);
  SentRequest sent(fixture, RouteKind::kOnce);
  const proxy::Response& answer = sent.Await();
  REQUIRE(answer.head.status == 503);
  REQUIRE(answer.head.headers.FindNumber("Retry-After") == std::nullopt);
  REQUIRE(answer.head.headers.Find("Retry-After") != nullptr);
}

TEST_CASE("a stream that sends bytes but no events is resumed elsewhere") {
  ForwardFixture fixture;
  FakeUpstream stalls(
      fixture.loop,
      RespondEndlessly(fixture.loop,
                       SignedResponse(fixture.headers, 200, "").head, ": x\n"));
  FakeUpstream sound(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(SignedResponse(fixture.headers, 200, "").head);
        responder->Write("id: 1\ndata: a\n\n");
        responder->End();
      });
  fixture.Add("a", stalls);
  SentRequest sent(fixture, RouteKind::kStream, 3, seconds(20), true,
                   milliseconds(80));
  fixture.Await([&] { return stalls.requests.size() == 1; });
  fixture.Add("b", sound);
  fixture.Await([&] { return sent.sink.has_ended; });
  REQUIRE(sent.sink.body == "id: 1\ndata: a\n\n");
}

TEST_CASE(
    "a slow stream is not cut, and a stalled one is cut after its deadline") {
  ForwardFixture fixture;
  // Sends an event every 60 ms, past the request's deadline of 100 ms.
  FakeUpstream slow(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(SignedResponse(fixture.headers, 200, "").head);
        const auto timer = std::make_shared<LoopTimer>(fixture.loop);
        const auto n = std::make_shared<int>(0);
        timer->Every(milliseconds(60), [timer, n, responder] {
          if (++*n <= 6) {
            responder->Write("id: " + std::to_string(*n) + "\ndata: x\n\n");
            return;
          }
          timer->Cancel();
          responder->End();
        });
      });
  fixture.Add("slow", slow);
  SentRequest sound(fixture, RouteKind::kStream, 1, milliseconds(100), false,
                    seconds(5));
  fixture.Await([&] { return sound.sink.has_ended; });
  REQUIRE(sound.sink.body.ends_with("id: 6\ndata: x\n\n"));

  fixture.directory.Remove({UpstreamId("slow")});
  FakeUpstream stalls(
      fixture.loop,
      RespondEndlessly(fixture.loop,
                       SignedResponse(fixture.headers, 200, "").head, ": x\n"));
  fixture.Add("stalls", stalls);
  SentRequest stalled(fixture, RouteKind::kStream, 1, milliseconds(100), false,
                      milliseconds(80));
  fixture.Await([&] { return stalled.sink.is_broken; });
  REQUIRE_FALSE(stalled.sink.has_ended);
}

struct CountingRecorder final : accounts::UsageRecorder {
  void RecordStart(const accounts::AccountId& account,
                   TimePoint began) override {
    starts.emplace_back(account, began);
  }
  std::vector<std::pair<accounts::AccountId, TimePoint>> starts;
};

// Guards against a request whose work takes longer than a report waits, and
// which is counted only once the response arrives.
TEST_CASE("a long request is counted once, before its response") {
  ForwardFixture fixture;
  CountingRecorder recorder;
  fixture.context.usage = &recorder;
  ResponderPtr waiting;
  FakeUpstream slow(fixture.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      waiting = responder;
                    });
  fixture.Add("slow", slow);
  const TimePoint before = fixture.clock.Now();
  SentRequest sent(fixture, RouteKind::kIdempotent, 1, seconds(20), false,
                   seconds(20), accounts::AccountId("a"));
  fixture.Await([&] { return !recorder.starts.empty(); });
  REQUIRE_FALSE(sent.sink.answer.has_value());
  REQUIRE(recorder.starts[0].first == accounts::AccountId("a"));
  REQUIRE(recorder.starts[0].second >= before);
  fixture.Await([&] { return waiting != nullptr; });
  waiting->Send(SignedResponse(fixture.headers, 200, "x"));
  REQUIRE(sent.Await().head.status == 200);
  REQUIRE(recorder.starts.size() == 1);
}

// Guards against requests that are counted although no upstream ran them, and
// attempts that are counted as further requests.
TEST_CASE("a request is counted once over all attempts that ran") {
  ForwardFixture fixture;
  CountingRecorder recorder;
  fixture.context.usage = &recorder;
  FakeUpstream full(fixture.loop, RespondWith(NotRunResponse(fixture.headers)));
  fixture.Add("full", full);
  const auto send = [&] {
    SentRequest sent(fixture, RouteKind::kIdempotent, 3, seconds(20), false,
                     seconds(4), accounts::AccountId("a"));
    return sent.Await().head.status;
  };
  REQUIRE(send() == 503);
  REQUIRE(recorder.starts.empty());
  FakeUpstream breaks(fixture.loop, BreakOff());
  FakeUpstream also(fixture.loop, BreakOff());
  fixture.Add("breaks", breaks);
  fixture.Add("also", also);
  REQUIRE(send() == 502);
  REQUIRE(recorder.starts.size() == 1);
}

TEST_CASE("without an upstream a request is refused at once as not run") {
  ForwardFixture fixture;
  SentRequest sent(fixture, RouteKind::kOnce);
  const proxy::Response& answer = sent.Await();
  REQUIRE(answer.head.status == 503);
  REQUIRE(answer.head.headers.Find("Retry-After") != nullptr);
}

TEST_CASE("a request that times out after it was sent gets status 504") {
  ForwardFixture fixture;
  FakeUpstream silent(fixture.loop, NeverRespond());
  fixture.Add("a", silent);
  SentRequest sent(fixture, RouteKind::kIdempotent, 2, milliseconds(50));
  REQUIRE(sent.Await().head.status == 504);
}

TEST_CASE("a long response is passed on, and a broken one is visibly broken") {
  const std::string part(std::size_t{200} * 1024, 'x');
  for (const bool breaks : {false, true}) {
    ForwardFixture fixture;
    FakeUpstream upstream(fixture.loop, [&](const proxy::Request&,
                                            const ResponderPtr& responder) {
      proxy::ResponseHead head;
      head.status = 200;
      head.headers.Add(fixture.headers.signature, "sig");
      responder->Start(head);
      responder->Write(part);
      responder->Write(part);
      if (!breaks) responder->End();
      if (breaks) {
        responder->SetOnDrained([responder] { responder->Abort(); });
      }
    });
    fixture.Add("a", upstream);
    SentRequest sent(fixture, RouteKind::kIdempotent);
    fixture.Await([&] {
      return sent.sink.has_ended || sent.sink.is_broken ||
             sent.sink.answer.has_value();
    });
    REQUIRE(sent.sink.has_ended == !breaks);
    if (!breaks) REQUIRE(sent.sink.body.size() == 2 * part.size());
    const bool has_success =
        sent.sink.answer.has_value() && sent.sink.answer->head.status == 200;
    REQUIRE_FALSE(has_success);
  }
}

TEST_CASE("a caller that disconnects ends the exchange with the upstream") {
  ForwardFixture fixture;
  bool is_gone = false;
  FakeUpstream slow(fixture.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      responder->SetOnDisconnect([&] { is_gone = true; });
                    });
  fixture.Add("a", slow);
  SentRequest sent(fixture, RouteKind::kIdempotent);
  fixture.Await([&] { return !slow.requests.empty(); });
  sent.request->Cancel();
  fixture.Await([&] { return is_gone; });
  REQUIRE_FALSE(sent.sink.answer.has_value());
}

/// Returns a function that answers like `respond`, but with this length and
/// other headers that describe the bytes of its body.
FakeUpstream::RespondFunction DescribeBody(const ExchangeHeaders& headers,
                                           const std::string& body,
                                           std::size_t bytes_sent) {
  return [&headers, body, bytes_sent](const proxy::Request&,
                                      const ResponderPtr& responder) {
    proxy::ResponseHead head;
    head.status = 200;
    head.headers.Add(headers.signature, "first");
    head.headers.Add("Content-Type", "text/event-stream");
    head.headers.Add("Content-Length", std::to_string(body.size()));
    head.headers.Add("ETag", "\"a\"");
    head.headers.Add("Content-Digest", "sha-256=:YQ==:");
    head.headers.Add("Accept-Ranges", "bytes");
    responder->Start(head);
    responder->Write(body.substr(0, bytes_sent));
    if (bytes_sent == body.size()) {
      responder->End();
      return;
    }
    responder->SetOnDrained([responder] {
      if (responder->unsent() == 0) responder->Abort();
    });
  };
}

// Guards against a length of the first upstream over a body that goes on with
// another upstream's bytes: answers that look complete with pieces missing, and
// answers that never end (review/12).
TEST_CASE("a resumable stream names nothing of its first upstream's bytes") {
  for (const std::uint64_t last : {4U, 20U}) {
    ForwardFixture fixture;
    const std::string first = EventsUpTo(9);
    FakeUpstream breaks(fixture.loop, DescribeBody(fixture.headers, first, 30));
    fixture.Add("breaks", breaks);
    SentRequest sent(fixture, RouteKind::kStream, 2, seconds(20), true);
    fixture.Await([&] { return sent.sink.head.has_value(); });
    FakeUpstream goes_on(fixture.loop, StreamEvents(fixture.headers, last, 99,
                                                    "text/event-stream"));
    fixture.Add("goes-on", goes_on);
    fixture.Await([&] { return sent.sink.has_ended; });
    REQUIRE(sent.sink.body == EventsUpTo(last));
    const proxy::HeaderList& headers = sent.sink.head->headers;
    for (const char* name :
         {"Content-Length", "ETag", "Content-Digest", "Accept-Ranges"}) {
      CAPTURE(name);
      REQUIRE(headers.Find(name) == nullptr);
    }
    REQUIRE(*headers.Find(fixture.headers.signature) == "first");
    REQUIRE(headers.MediaType() == "text/event-stream");
  }
}

// The length lets a caller see the end of what one upstream sends.
TEST_CASE("a stream that comes from one upstream only keeps its length") {
  ForwardFixture fixture;
  const std::string body = EventsUpTo(9);
  FakeUpstream sound(fixture.loop,
                     DescribeBody(fixture.headers, body, body.size()));
  fixture.Add("sound", sound);
  SentRequest sent(fixture, RouteKind::kStream, 2, seconds(20), false);
  fixture.Await([&] { return sent.sink.has_ended; });
  REQUIRE(sent.sink.head->headers.FindNumber("Content-Length") == body.size());
  REQUIRE(sent.sink.head->headers.Find("ETag") != nullptr);
}

TEST_CASE("a broken stream is resumed elsewhere within one response") {
  ForwardFixture fixture;
  FakeUpstream breaks(fixture.loop, StreamEvents(fixture.headers, 6, 2));
  FakeUpstream also(fixture.loop, StreamEvents(fixture.headers, 6, 2));
  fixture.Add("a", breaks);
  fixture.Add("b", also);
  SentRequest sent(fixture, RouteKind::kStream, 9, seconds(20), true);
  fixture.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.has_ended);
  REQUIRE(sent.sink.body == EventsUpTo(6));
  REQUIRE(fixture.metrics.resumed_streams >= 2);
}

// Guards against the failure of 2026-12-04: a stream went on at an upstream of
// another software version.
TEST_CASE("a stream goes on only at the software version that began it") {
  ForwardFixture fixture;
  FakeUpstream first(fixture.loop, StreamEvents(fixture.headers, 6, 4));
  FakeUpstream second(fixture.loop, StreamEvents(fixture.headers, 6, 4));
  fixture.Add("a", first, {}, 8, "v1");
  fixture.Add("b", second, {}, 8, "v2");
  SentRequest sent(fixture, RouteKind::kStream, 9, seconds(20), true);
  fixture.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.has_ended);
  REQUIRE(sent.sink.body == EventsUpTo(6));
  REQUIRE((first.requests.empty() || second.requests.empty()));
}

TEST_CASE(
    "a stream that may not be resumed is visibly broken and not sent again") {
  ForwardFixture fixture;
  FakeUpstream breaks(fixture.loop, StreamEvents(fixture.headers, 6, 2));
  FakeUpstream also(fixture.loop, StreamEvents(fixture.headers, 6, 2));
  fixture.Add("a", breaks);
  fixture.Add("b", also);
  SentRequest sent(fixture, RouteKind::kStream, 9);
  fixture.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.is_broken);
  REQUIRE(breaks.requests.size() + also.requests.size() == 1);
}

TEST_CASE(
    "a resumed stream does not pass on the next upstream's error response") {
  ForwardFixture fixture;
  FakeUpstream breaks(fixture.loop, StreamEvents(fixture.headers, 6, 2));
  FakeUpstream fails(fixture.loop,
                     RespondWith(SignedResponse(fixture.headers, 500, "why")));
  fixture.Add("a", breaks);
  SentRequest sent(fixture, RouteKind::kStream, 2, seconds(20), true);
  fixture.Await([&] { return sent.sink.head.has_value(); });
  fixture.Add("b", fails);
  fixture.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.is_broken);
  REQUIRE(sent.sink.body.find("why") == std::string::npos);
  REQUIRE(EventsUpTo(6).starts_with(sent.sink.body));
}

// Guards against a report of other operators: clients found the next upstream's
// error in the middle of their stream, or the stream ended as if complete.
TEST_CASE("nothing but the stream itself goes on after a stream has begun") {
  const std::string long_text(300'000, 'w');
  for (const int status : {200, 204, 206, 302, 404, 500, 503}) {
    for (const std::string& text : {std::string("why"), long_text}) {
      ForwardFixture fixture;
      FakeUpstream breaks(fixture.loop, StreamEvents(fixture.headers, 6, 2,
                                                     "text/event-stream"));
      proxy::Response other =
          SignedResponse(fixture.headers, status,
                         status == 204 ? "" : "id: 3\ndata: " + text + "\n\n");
      other.head.headers.Set("Content-Type", "text/plain");
      FakeUpstream answers_otherwise(fixture.loop, RespondWith(other));
      fixture.Add("a", breaks);
      SentRequest sent(fixture, RouteKind::kStream, 2, seconds(20), true);
      fixture.Await([&] { return sent.sink.head.has_value(); });
      fixture.Add("b", answers_otherwise);
      fixture.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
      INFO(status << " " << text.size());
      REQUIRE(sent.sink.is_broken);
      REQUIRE(EventsUpTo(6).starts_with(sent.sink.body));
      REQUIRE(sent.sink.body.size() < EventsUpTo(6).size());
    }
  }
}

TEST_CASE("a stream refused before its first event is retried elsewhere") {
  for (const bool is_resumable : {false, true}) {
    ForwardFixture fixture;
    FakeUpstream full(fixture.loop,
                      RespondWith(NotRunResponse(fixture.headers)));
    FakeUpstream free(fixture.loop, StreamEvents(fixture.headers, 3, 9));
    fixture.Add("full", full);
    fixture.Add("free", free);
    SentRequest sent(fixture, RouteKind::kStream, 1, seconds(20), is_resumable);
    fixture.Await([&] { return sent.sink.has_ended; });
    REQUIRE(sent.sink.body == EventsUpTo(3));
  }
}

TEST_CASE("a request is refused once it has crashed three upstreams") {
  ForwardFixture fixture;
  FakeUpstream crashes(fixture.loop, BreakOff());
  for (int i = 0; i < 3; ++i) {
    const std::string id = "u" + std::to_string(i);
    fixture.Add(id, crashes);
    SentRequest sent(fixture, RouteKind::kIdempotent, 1);
    REQUIRE(sent.Await().head.status == 502);
    // The registration of the upstream expires.
    fixture.directory.Remove({UpstreamId(id)});
  }
  FakeUpstream sound(fixture.loop,
                     RespondWith(SignedResponse(fixture.headers, 200, "a")));
  fixture.Add("sound", sound);
  SentRequest again(fixture, RouteKind::kIdempotent, 1);
  REQUIRE(again.Await().head.status == 503);
  REQUIRE(sound.requests.empty());
}

}  // namespace
}  // namespace briarspread::forward
