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
       milliseconds time = seconds(20))
      : world(world) {
    LiveRequestSpec spec;
    spec.request.head.method = "POST";
    spec.request.head.target = "/x/1";
    spec.request.head.headers.Add("Host", "h");
    spec.request.head.headers.Add(world.headers.attempt_id, "id-1");
    spec.request.head.headers.Add(world.headers.deadline, "999999");
    spec.request.body = "body";
    spec.route.kind = kind;
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
                      responder->SetOnGone([&] { is_gone = true; });
                    });
  world.Add("a", slow);
  Sent sent(world, RouteKind::kIdempotent);
  world.Await([&] { return !slow.requests.empty(); });
  sent.request->Cancel();
  world.Await([&] { return is_gone; });
  REQUIRE_FALSE(sent.sink.answer.has_value());
}

}  // namespace
}  // namespace briarspread::forward
