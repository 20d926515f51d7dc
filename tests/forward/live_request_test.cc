#include "briarspread/forward/live_request.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/forward/forward_world.h"

namespace briarspread::forward {
namespace {

using ResponderPtr = std::shared_ptr<proxy::Responder>;

struct Sink final : AnswerSink {
  void OnAnswer(proxy::Response got) override { answer = std::move(got); }
  void OnAnswerHead(const proxy::ResponseHead& got) override { head = got; }
  void OnAnswerBody(std::string_view data) override { body.append(data); }
  void OnAnswerEnd() override { has_ended = true; }
  void OnAnswerBroken() override { is_broken = true; }

  std::optional<proxy::Response> answer;
  std::optional<proxy::ResponseHead> head;
  std::string body;
  bool has_ended = false;
  bool is_broken = false;
};

/// An upstream that gives one answer to all.
FakeUpstream::Answer Always(const proxy::Response& response) {
  return [response](const proxy::Request&, const ResponderPtr& responder) {
    responder->Send(response);
  };
}

FakeUpstream::Answer Never() {
  return [](const proxy::Request&, const ResponderPtr&) {};
}

FakeUpstream::Answer Breaks() {
  return [](const proxy::Request&, const ResponderPtr& responder) {
    responder->Abort();
  };
}

struct Sent {
  Sent(ForwardWorld& world, RouteKind kind, std::uint32_t max_attempts = 2,
       milliseconds time = seconds(20), bool is_resumable = false,
       milliseconds least_stall = seconds(4))
      : world(world) {
    LiveRequestSpec spec;
    spec.request.head.method = "POST";
    spec.request.head.target = "/x/1";
    spec.request.head.headers.Add("Host", "h");
    spec.request.head.headers.Add(world.headers.attempt_id, "id-1");
    spec.request.head.headers.Add(world.headers.deadline, "999999");
    spec.request.body = "body";
    spec.route.kind = kind;
    spec.progress.check = milliseconds(10);
    spec.progress.least_stall = least_stall;
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

  ForwardWorld& world;
  Sink sink;
  std::shared_ptr<LiveRequest> request;
};

proxy::Response NotRun(const ExchangeHeaders& headers) {
  proxy::Response response = proxy::MakeResponse(503, "{}");
  response.head.headers.Add(headers.not_run, "1");
  return response;
}

TEST_CASE("an upstream's answer comes back, and the time left goes there") {
  ForwardWorld world;
  FakeUpstream upstream(world.loop, Always(Signed(world.headers, 200, "a")));
  world.Add("u", upstream);
  Sent sent(world, RouteKind::kIdempotent);
  REQUIRE(sent.Await().body == "a");
  const auto& headers = upstream.requests.at(0).head.headers;
  REQUIRE(*headers.Find(world.headers.expected_upstream) == "u");
  REQUIRE(*headers.FindNumber(world.headers.deadline) <= 20000);
  REQUIRE(*headers.Find(world.headers.attempt_id) == "id-1");
  REQUIRE(upstream.requests[0].body == "body");
}

TEST_CASE("a refused request goes to another upstream, of any kind") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kOnce}) {
    ForwardWorld world;
    FakeUpstream full(world.loop, Always(NotRun(world.headers)));
    FakeUpstream free(world.loop, Always(Signed(world.headers, 200, "a")));
    world.Add("full", full);
    world.Add("free", free);
    Sent sent(world, kind, 1);
    REQUIRE(sent.Await().body == "a");
  }
}

TEST_CASE("a broken exchange is repeated only where that is allowed") {
  for (const bool is_idempotent : {true, false}) {
    ForwardWorld world;
    FakeUpstream breaks(world.loop, Breaks());
    FakeUpstream also(world.loop, Breaks());
    world.Add("a", breaks);
    world.Add("b", also);
    Sent sent(world, is_idempotent ? RouteKind::kIdempotent : RouteKind::kOnce);
    // Never 503: it may have run.
    REQUIRE(sent.Await().head.status == 502);
    REQUIRE(breaks.requests.size() + also.requests.size() ==
            (is_idempotent ? 2 : 1));
  }
}

TEST_CASE("a success without signature is no answer") {
  ForwardWorld world;
  FakeUpstream forged(world.loop, Always(proxy::MakeResponse(200, "x")));
  FakeUpstream sound(world.loop, Always(Signed(world.headers, 200, "a")));
  world.Add("forged", forged);
  world.Add("sound", sound);
  Sent sent(world, RouteKind::kIdempotent, 3);
  REQUIRE(sent.Await().body == "a");
}

TEST_CASE("an upstream's own failure comes back where nothing better does") {
  ForwardWorld world;
  FakeUpstream fails(world.loop, Always(Signed(world.headers, 500, "why")));
  world.Add("a", fails);
  Sent sent(world, RouteKind::kIdempotent, 2);
  REQUIRE(sent.Await().head.status == 500);
  REQUIRE(sent.sink.answer->body == "why");
  REQUIRE(sent.request->upstream_errors() == 2);
}

TEST_CASE("a refusal or failure without end is cut, and tried elsewhere") {
  for (const int status : {500, 503}) {
    ForwardWorld world;
    proxy::Response bad = status == 503 ? NotRun(world.headers)
                                        : Signed(world.headers, status, "");
    FakeUpstream endless(
        world.loop, Endless(world.loop, bad.head, std::string(16384, 'x')));
    FakeUpstream sound(world.loop, Always(Signed(world.headers, 200, "ok")));
    world.Add("a", endless);
    Sent sent(world, RouteKind::kIdempotent);
    world.Await([&] { return endless.requests.size() == 1; });
    world.Add("b", sound);
    REQUIRE(sent.Await().body == "ok");
    REQUIRE_FALSE(sent.sink.head.has_value());
  }
}

TEST_CASE("a refusal without end stays a refusal that did not run") {
  ForwardWorld world;
  FakeUpstream endless(
      world.loop,
      Endless(world.loop, NotRun(world.headers).head, std::string(16384, 'x')));
  world.Add("a", endless);
  Sent sent(world, RouteKind::kOnce);
  const proxy::Response& answer = sent.Await();
  REQUIRE(answer.head.status == 503);
  REQUIRE(answer.head.headers.FindNumber("Retry-After") == std::nullopt);
  REQUIRE(answer.head.headers.Find("Retry-After") != nullptr);
}

TEST_CASE("a stream that sends bytes but no events goes on elsewhere") {
  ForwardWorld world;
  FakeUpstream stalls(
      world.loop,
      Endless(world.loop, Signed(world.headers, 200, "").head, ": x\n"));
  FakeUpstream sound(world.loop,
                     [&](const proxy::Request&, const ResponderPtr& responder) {
                       responder->Start(Signed(world.headers, 200, "").head);
                       responder->Write("id: 1\ndata: a\n\n");
                       responder->End();
                     });
  world.Add("a", stalls);
  Sent sent(world, RouteKind::kStream, 3, seconds(20), true, milliseconds(80));
  world.Await([&] { return stalls.requests.size() == 1; });
  world.Add("b", sound);
  world.Await([&] { return sent.sink.has_ended; });
  REQUIRE(sent.sink.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("a slow sound stream is never cut, a stalled one past its time is") {
  ForwardWorld world;
  // An event each 60 ms, past the request's time of 100 ms.
  FakeUpstream slow(
      world.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(Signed(world.headers, 200, "").head);
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
  Sent sound(world, RouteKind::kStream, 1, milliseconds(100), false,
             seconds(5));
  world.Await([&] { return sound.sink.has_ended; });
  REQUIRE(sound.sink.body.ends_with("id: 6\ndata: x\n\n"));

  world.directory.Remove({UpstreamId("slow")});
  FakeUpstream stalls(
      world.loop,
      Endless(world.loop, Signed(world.headers, 200, "").head, ": x\n"));
  world.Add("stalls", stalls);
  Sent stalled(world, RouteKind::kStream, 1, milliseconds(100), false,
               milliseconds(80));
  world.Await([&] { return stalled.sink.is_broken; });
  REQUIRE_FALSE(stalled.sink.has_ended);
}

TEST_CASE("without an upstream the refusal comes at once and says not run") {
  ForwardWorld world;
  Sent sent(world, RouteKind::kOnce);
  const proxy::Response& answer = sent.Await();
  REQUIRE(answer.head.status == 503);
  REQUIRE(answer.head.headers.Find("Retry-After") != nullptr);
}

TEST_CASE("at the end of its time a request that was sent promises nothing") {
  ForwardWorld world;
  FakeUpstream silent(world.loop, Never());
  world.Add("a", silent);
  Sent sent(world, RouteKind::kIdempotent, 2, milliseconds(50));
  REQUIRE(sent.Await().head.status == 504);
}

TEST_CASE("a long answer is passed on, and a break shows") {
  const std::string part(std::size_t{200} * 1024, 'x');
  for (const bool breaks : {false, true}) {
    ForwardWorld world;
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
    Sent sent(world, RouteKind::kIdempotent);
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

TEST_CASE("a caller that leaves ends the work at the upstream") {
  ForwardWorld world;
  bool is_gone = false;
  FakeUpstream slow(world.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      responder->SetOnDisconnect([&] { is_gone = true; });
                    });
  world.Add("a", slow);
  Sent sent(world, RouteKind::kIdempotent);
  world.Await([&] { return !slow.requests.empty(); });
  sent.request->Cancel();
  world.Await([&] { return is_gone; });
  REQUIRE_FALSE(sent.sink.answer.has_value());
}

/// An upstream of a stream of `last` events, which goes on after the last event
/// that the request names; after `breaks_after` of them it breaks off midway.
FakeUpstream::Answer Streams(const ExchangeHeaders& headers, std::uint64_t last,
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

TEST_CASE("a stream that breaks goes on elsewhere within one response") {
  ForwardWorld world;
  FakeUpstream breaks(world.loop, Streams(world.headers, 6, 2));
  FakeUpstream also(world.loop, Streams(world.headers, 6, 2));
  world.Add("a", breaks);
  world.Add("b", also);
  Sent sent(world, RouteKind::kStream, 9, seconds(20), true);
  world.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.has_ended);
  REQUIRE(sent.sink.body == EventsUpTo(6));
  REQUIRE(world.metrics.resumed_streams >= 2);
}

TEST_CASE("a stream that may not be resumed is visibly broken, and run once") {
  ForwardWorld world;
  FakeUpstream breaks(world.loop, Streams(world.headers, 6, 2));
  FakeUpstream also(world.loop, Streams(world.headers, 6, 2));
  world.Add("a", breaks);
  world.Add("b", also);
  Sent sent(world, RouteKind::kStream, 9);
  world.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.is_broken);
  REQUIRE(breaks.requests.size() + also.requests.size() == 1);
}

TEST_CASE("a resumed stream passes on no failure of its next upstream") {
  ForwardWorld world;
  FakeUpstream breaks(world.loop, Streams(world.headers, 6, 2));
  FakeUpstream fails(world.loop, Always(Signed(world.headers, 500, "why")));
  world.Add("a", breaks);
  Sent sent(world, RouteKind::kStream, 2, seconds(20), true);
  world.Await([&] { return sent.sink.head.has_value(); });
  world.Add("b", fails);
  world.Await([&] { return sent.sink.has_ended || sent.sink.is_broken; });
  REQUIRE(sent.sink.is_broken);
  REQUIRE(sent.sink.body.find("why") == std::string::npos);
  REQUIRE(EventsUpTo(6).starts_with(sent.sink.body));
}

TEST_CASE("a stream refused before its first event may go elsewhere") {
  for (const bool is_resumable : {false, true}) {
    ForwardWorld world;
    FakeUpstream full(world.loop, Always(NotRun(world.headers)));
    FakeUpstream free(world.loop, Streams(world.headers, 3, 9));
    world.Add("full", full);
    world.Add("free", free);
    Sent sent(world, RouteKind::kStream, 1, seconds(20), is_resumable);
    world.Await([&] { return sent.sink.has_ended; });
    REQUIRE(sent.sink.body == EventsUpTo(3));
  }
}

TEST_CASE("a request that crashes upstreams is refused after the third") {
  ForwardWorld world;
  FakeUpstream crashes(world.loop, Breaks());
  for (int i = 0; i < 3; ++i) {
    const std::string id = "u" + std::to_string(i);
    world.Add(id, crashes);
    Sent sent(world, RouteKind::kIdempotent, 1);
    REQUIRE(sent.Await().head.status == 502);
    // Its registration lapses.
    world.directory.Remove({UpstreamId(id)});
  }
  FakeUpstream sound(world.loop, Always(Signed(world.headers, 200, "a")));
  world.Add("sound", sound);
  Sent again(world, RouteKind::kIdempotent, 1);
  REQUIRE(again.Await().head.status == 503);
  REQUIRE(sound.requests.empty());
}

}  // namespace
}  // namespace briarspread::forward
