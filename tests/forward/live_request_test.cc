#include "briarspread/forward/live_request.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/forward/forward_fixture.h"

namespace briarspread::forward {
namespace {

using ResponderPtr = std::shared_ptr<proxy::Responder>;

struct RecordingSink final : ResponseSink {
  void OnResponse(proxy::Response got) override { answer = std::move(got); }
  void OnResponseHead(const proxy::ResponseHead& got) override { head = got; }
  void OnResponseBody(std::string_view data) override { body.append(data); }
  void OnResponseEnd() override { has_ended = true; }
  void OnResponseAborted() override { is_broken = true; }

  std::optional<proxy::Response> answer;
  std::optional<proxy::ResponseHead> head;
  std::string body;
  bool has_ended = false;
  bool is_broken = false;
};

/// Returns a function that sends the same response to every request.
FakeUpstream::RespondFunction RespondWith(const proxy::Response& response) {
  return [response](const proxy::Request&, const ResponderPtr& responder) {
    responder->Send(response);
  };
}

FakeUpstream::RespondFunction NeverRespond() {
  return [](const proxy::Request&, const ResponderPtr&) {};
}

FakeUpstream::RespondFunction BreakOff() {
  return [](const proxy::Request&, const ResponderPtr& responder) {
    responder->Abort();
  };
}

struct SentRequest {
  SentRequest(ForwardFixture& world, RouteKind kind,
              std::uint32_t max_attempts = 2, milliseconds time = seconds(20),
              bool is_resumable = false,
              milliseconds min_stall_timeout = seconds(4))
      : world(world) {
    LiveRequestSpec spec;
    spec.request.head.method = "POST";
    spec.request.head.target = "/x/1";
    spec.request.head.headers.Add("Host", "h");
    spec.request.head.headers.Add(world.headers.attempt_id, "id-1");
    spec.request.head.headers.Add(world.headers.deadline, "999999");
    spec.request.body = "body";
    spec.route.kind = kind;
    spec.stall_detection.check_interval = milliseconds(10);
    spec.stall_detection.min_stall_timeout = min_stall_timeout;
    spec.route.is_resumable = is_resumable;
    spec.route.max_attempts = max_attempts;
    spec.route.backends = {{ServiceName("s"), 1}};
    spec.arrived = world.clock.Now();
    spec.deadline = spec.arrived + time;
    request =
        std::make_shared<LiveRequest>(world.context, std::move(spec), sink);
    request->Start();
  }
  const proxy::Response& Await() {
    world.Await([this] { return sink.answer.has_value(); });
    return *sink.answer;
  }

  ForwardFixture& world;
  RecordingSink sink;
  std::shared_ptr<LiveRequest> request;
};

proxy::Response NotRunResponse(const ExchangeHeaders& headers) {
  proxy::Response response = proxy::MakeResponse(503, "{}");
  response.head.headers.Add(headers.not_run, "1");
  return response;
}

TEST_CASE("a response is passed on, and the upstream gets the remaining time") {
  ForwardFixture world;
  FakeUpstream upstream(world.loop,
                        RespondWith(SignedResponse(world.headers, 200, "a")));
  world.Add("u", upstream);
  SentRequest sent(world, RouteKind::kIdempotent);
  REQUIRE(sent.Await().body == "a");
  const auto& headers = upstream.requests.at(0).head.headers;
  REQUIRE(*headers.Find(world.headers.expected_upstream) == "u");
  REQUIRE(*headers.FindNumber(world.headers.deadline) <= 20000);
  REQUIRE(*headers.Find(world.headers.attempt_id) == "id-1");
  REQUIRE(upstream.requests[0].body == "body");
}

TEST_CASE(
    "a refused request is retried at another upstream, idempotent or not") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kOnce}) {
    ForwardFixture world;
    FakeUpstream full(world.loop, RespondWith(NotRunResponse(world.headers)));
    FakeUpstream free(world.loop,
                      RespondWith(SignedResponse(world.headers, 200, "a")));
    world.Add("full", full);
    world.Add("free", free);
    SentRequest sent(world, kind, 1);
    REQUIRE(sent.Await().body == "a");
  }
}

TEST_CASE("a broken exchange is retried for an idempotent request only") {
  for (const bool is_idempotent : {true, false}) {
    ForwardFixture world;
    FakeUpstream breaks(world.loop, BreakOff());
    FakeUpstream also(world.loop, BreakOff());
    world.Add("a", breaks);
    world.Add("b", also);
    SentRequest sent(world,
                     is_idempotent ? RouteKind::kIdempotent : RouteKind::kOnce);
    // Not 503, because the request may have run.
    REQUIRE(sent.Await().head.status == 502);
    REQUIRE(breaks.requests.size() + also.requests.size() ==
            (is_idempotent ? 2 : 1));
  }
}

TEST_CASE("a successful response without a signature is rejected") {
  ForwardFixture world;
  FakeUpstream forged(world.loop, RespondWith(proxy::MakeResponse(200, "x")));
  FakeUpstream sound(world.loop,
                     RespondWith(SignedResponse(world.headers, 200, "a")));
  world.Add("forged", forged);
  world.Add("sound", sound);
  SentRequest sent(world, RouteKind::kIdempotent, 3);
  REQUIRE(sent.Await().body == "a");
}

TEST_CASE("an upstream's error response is passed on if no retry succeeds") {
  ForwardFixture world;
  FakeUpstream fails(world.loop,
                     RespondWith(SignedResponse(world.headers, 500, "why")));
  world.Add("a", fails);
  SentRequest sent(world, RouteKind::kIdempotent, 2);
  REQUIRE(sent.Await().head.status == 500);
  REQUIRE(sent.sink.answer->body == "why");
  REQUIRE(sent.request->upstream_errors() == 2);
}

TEST_CASE(
    "an endless refusal or error response is aborted and retried elsewhere") {
  for (const int status : {500, 503}) {
    ForwardFixture world;
    proxy::Response bad = status == 503
                              ? NotRunResponse(world.headers)
                              : SignedResponse(world.headers, status, "");
    FakeUpstream endless(world.loop, RespondEndlessly(world.loop, bad.head,
                                                      std::string(16384, 'x')));
    FakeUpstream sound(world.loop,
                       RespondWith(SignedResponse(world.headers, 200, "ok")));
    world.Add("a", endless);
    SentRequest sent(world, RouteKind::kIdempotent);
    world.Await([&] { return endless.requests.size() == 1; });
    world.Add("b", sound);
    REQUIRE(sent.Await().body == "ok");
    REQUIRE_FALSE(sent.sink.head.has_value());
  }
}

TEST_CASE("a request with an endless refusal as response counts as not run") {
  ForwardFixture world;
  FakeUpstream endless(
      world.loop,
      RespondEndlessly(world.loop, NotRunResponse(world.headers).head,
                       std::string(16384, 'x')));
  world.Add("a", endless);
  SentRequest sent(world, RouteKind::kOnce);
  const proxy::Response& answer = sent.Await();
  REQUIRE(answer.head.status == 503);
  REQUIRE(answer.head.headers.FindNumber("Retry-After") == std::nullopt);
  REQUIRE(answer.head.headers.Find("Retry-After") != nullptr);
}

TEST_CASE("a stream that sends bytes but no events is resumed elsewhere") {
  ForwardFixture world;
  FakeUpstream stalls(
      world.loop,
      RespondEndlessly(world.loop, SignedResponse(world.headers, 200, "").head,
                       ": x\n"));
  FakeUpstream sound(
      world.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(SignedResponse(world.headers, 200, "").head);
        responder->Write("id: 1\ndata: a\n\n");
        responder->End();
      });
  world.Add("a", stalls);
  SentRequest sent(world, RouteKind::kStream, 3, seconds(20), true,
                   milliseconds(80));
  world.Await([&] { return stalls.requests.size() == 1; });
  world.Add("b", sound);
  world.Await([&] { return sent.sink.has_ended; });
  REQUIRE(sent.sink.body == "id: 1\ndata: a\n\n");
}

TEST_CASE(
    "a slow stream is not cut, and a stalled one is cut after its deadline") {
  ForwardFixture world;
  // Sends an event every 60 ms, past the request's deadline of 100 ms.
  FakeUpstream slow(
      world.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(SignedResponse(world.headers, 200, "").head);
        const auto timer = std::make_shared<LoopTimer>(world.loop);
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
  world.Add("slow", slow);
  SentRequest sound(world, RouteKind::kStream, 1, milliseconds(100), false,
                    seconds(5));
  world.Await([&] { return sound.sink.has_ended; });
  REQUIRE(sound.sink.body.ends_with("id: 6\ndata: x\n\n"));

  world.directory.Remove({UpstreamId("slow")});
  FakeUpstream stalls(
      world.loop,
      RespondEndlessly(world.loop, SignedResponse(world.headers, 200, "").head,
                       ": x\n"));
  world.Add("stalls", stalls);
  SentRequest stalled(world, RouteKind::kStream, 1, milliseconds(100), false,
                      milliseconds(80));
  world.Await([&] { return stalled.sink.is_broken; });
  REQUIRE_FALSE(stalled.sink.has_ended);
}

TEST_CASE("without an upstream a request is refused at once as not run") {
  ForwardFixture world;
  SentRequest sent(world, RouteKind::kOnce);
  const proxy::Response& answer = sent.Await();
  REQUIRE(answer.head.status == 503);
  REQUIRE(answer.head.headers.Find("Retry-After") != nullptr);
}

TEST_CASE("a request that times out after it was sent gets status 504") {
  ForwardFixture world;
  FakeUpstream silent(world.loop, NeverRespond());
  world.Add("a", silent);
  SentRequest sent(world, RouteKind::kIdempotent, 2, milliseconds(50));
  REQUIRE(sent.Await().head.status == 504);
}

TEST_CASE("a long response is passed on, and a broken one is visibly broken") {
  const std::string part(std::size_t{200} * 1024, 'x');
  for (const bool breaks : {false, true}) {
    ForwardFixture world;
    FakeUpstream upstream(
        world.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
          proxy::ResponseHead head;
          head.status = 200;
          head.headers.Add(world.headers.signature, "sig");
          responder->Start(head);
          responder->Write(part);
          responder->Write(part);
          if (!breaks) responder->End();
          if (breaks) {
            responder->SetOnDrained([responder] { responder->Abort(); });
          }
        });
    world.Add("a", upstream);
    SentRequest sent(world, RouteKind::kIdempotent);
    world.Await([&] {
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
  ForwardFixture world;
  bool is_gone = false;
  FakeUpstream slow(world.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      responder->SetOnGone([&] { is_gone = true; });
                    });
  world.Add("a", slow);
  SentRequest sent(world, RouteKind::kIdempotent);
  world.Await([&] { return !slow.requests.empty(); });
  sent.request->Cancel();
  world.Await([&] { return is_gone; });
  REQUIRE_FALSE(sent.sink.answer.has_value());
}

/// Returns a function that streams the events up to `last`, beginning after the
/// last event that the request names. After `breaks_after` events it breaks off
/// in the middle of the next one.
FakeUpstream::RespondFunction StreamEvents(const ExchangeHeaders& headers,
                                           std::uint64_t last,
                                           std::uint64_t breaks_after) {
  return [&headers, last, breaks_after](const proxy::Request& request,
                                        const ResponderPtr& responder) {
    proxy::ResponseHead head;
    head.status = 200;
    head.headers.Add(headers.signature, "sig");
    responder->Start(head);
    const std::uint64_t from =
        request.head.headers.FindNumber(headers.last_event_id).value_or(0) + 1;
    for (std::uint64_t n = from; n <= last; ++n) {
      const std::string event =
          "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + "\n\n";
      if (n == from + breaks_after) {
        responder->Write(event.substr(0, event.size() / 2));
        responder->SetOnDrained([responder] {
          if (responder->unsent() == 0) responder->Abort();
        });
        return;
      }
      responder->Write(event);
    }
    responder->End();
  };
}

std::string EventsUpTo(std::uint64_t last) {
  std::string events;
  for (std::uint64_t n = 1; n <= last; ++n) {
    events +=
        "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + "\n\n";
  }
  return events;
}

TEST_CASE("a broken stream is resumed elsewhere within one response") {
  ForwardFixture world;
  FakeUpstream breaks(world.loop, StreamEvents(world.headers, 6, 2));
  FakeUpstream also(world.loop, StreamEvents(world.headers, 6, 2));
  world.Add("a", breaks);
  world.Add("b", also);
  SentRequest sent(world, RouteKind::kStream, 9, seconds(20), true);
  world.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.has_ended);
  REQUIRE(sent.sink.body == EventsUpTo(6));
  REQUIRE(world.metrics.resumed_streams >= 2);
}

TEST_CASE(
    "a stream that may not be resumed is visibly broken and not sent again") {
  ForwardFixture world;
  FakeUpstream breaks(world.loop, StreamEvents(world.headers, 6, 2));
  FakeUpstream also(world.loop, StreamEvents(world.headers, 6, 2));
  world.Add("a", breaks);
  world.Add("b", also);
  SentRequest sent(world, RouteKind::kStream, 9);
  world.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.is_broken);
  REQUIRE(breaks.requests.size() + also.requests.size() == 1);
}

TEST_CASE(
    "a resumed stream does not pass on the next upstream's error response") {
  ForwardFixture world;
  FakeUpstream breaks(world.loop, StreamEvents(world.headers, 6, 2));
  FakeUpstream fails(world.loop,
                     RespondWith(SignedResponse(world.headers, 500, "why")));
  world.Add("a", breaks);
  SentRequest sent(world, RouteKind::kStream, 2, seconds(20), true);
  world.Await([&] { return sent.sink.head.has_value(); });
  world.Add("b", fails);
  world.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.is_broken);
  REQUIRE(sent.sink.body.find("why") == std::string::npos);
  REQUIRE(EventsUpTo(6).starts_with(sent.sink.body));
}

TEST_CASE("a stream refused before its first event is retried elsewhere") {
  for (const bool is_resumable : {false, true}) {
    ForwardFixture world;
    FakeUpstream full(world.loop, RespondWith(NotRunResponse(world.headers)));
    FakeUpstream free(world.loop, StreamEvents(world.headers, 3, 9));
    world.Add("full", full);
    world.Add("free", free);
    SentRequest sent(world, RouteKind::kStream, 1, seconds(20), is_resumable);
    world.Await([&] { return sent.sink.has_ended; });
    REQUIRE(sent.sink.body == EventsUpTo(3));
  }
}

TEST_CASE("a request is refused once it has crashed three upstreams") {
  ForwardFixture world;
  FakeUpstream crashes(world.loop, BreakOff());
  for (int i = 0; i < 3; ++i) {
    const std::string id = "u" + std::to_string(i);
    world.Add(id, crashes);
    SentRequest sent(world, RouteKind::kIdempotent, 1);
    REQUIRE(sent.Await().head.status == 502);
    // The registration of the upstream expires.
    world.directory.Remove({UpstreamId(id)});
  }
  FakeUpstream sound(world.loop,
                     RespondWith(SignedResponse(world.headers, 200, "a")));
  world.Add("sound", sound);
  SentRequest again(world, RouteKind::kIdempotent, 1);
  REQUIRE(again.Await().head.status == 503);
  REQUIRE(sound.requests.empty());
}

}  // namespace
}  // namespace briarspread::forward
