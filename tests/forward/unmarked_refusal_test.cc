// Responses whose status callers take for "not run" although the upstream does
// not state it.
#include <catch2/catch.hpp>
#include <string>

#include "tests/forward/sent_request.h"

namespace briarspread::forward {
namespace {

/// How an upstream sends its refusal.
enum class Form { kPlain, kRetryAfter, kInParts, kLong };

FakeUpstream::RespondFunction RefuseUnmarked(int status, Form form) {
  return [status, form](const proxy::Request&, const ResponderPtr& responder) {
    proxy::Response response = proxy::MakeResponse(status, "{}");
    response.head.headers.Add("Briarspread-Signature", "sig");
    if (form == Form::kRetryAfter) {
      response.head.headers.Add("Retry-After", "1");
    }
    if (form == Form::kLong) response.body.assign(600'000, 'x');
    if (form != Form::kInParts) {
      responder->Send(response);
      return;
    }
    responder->Start(response.head);
    responder->Write(response.body);
    responder->End();
  };
}

// Guards against a promise "not run" that the replica did not give: its request
// may have run and is sent again by its caller (review/14).
TEST_CASE(
    "a refusal that does not state so is no promise for a request that may run "
    "once") {
  for (const RouteKind kind : {RouteKind::kOnce, RouteKind::kStream}) {
    for (const int status : {408, 421, 429, 503}) {
      for (const Form form :
           {Form::kPlain, Form::kRetryAfter, Form::kInParts, Form::kLong}) {
        ForwardFixture fixture;
        FakeUpstream refuses(fixture.loop, RefuseUnmarked(status, form));
        FakeUpstream other(fixture.loop, RefuseUnmarked(status, form));
        fixture.Add("refuses", refuses);
        fixture.Add("other", other);
        SentRequest sent(fixture, kind, 2);
        CAPTURE(status, static_cast<int>(form));
        const proxy::Response& answer = sent.Await();
        REQUIRE(answer.head.status == 502);
        // It is an answer of ours, not the upstream's.
        REQUIRE(answer.head.headers.Find(fixture.headers.signature) == nullptr);
        REQUIRE(answer.head.headers.Find("Retry-After") == nullptr);
        // It reached one upstream only.
        REQUIRE(refuses.requests.size() + other.requests.size() == 1);
        REQUIRE(fixture.metrics.faults.at("unmarked_refusal") == 1);
      }
    }
  }
}

TEST_CASE(
    "other failures of a request that may run once are passed on unchanged") {
  for (const int status : {400, 404, 409, 425, 500, 502, 504}) {
    ForwardFixture fixture;
    FakeUpstream fails(fixture.loop, RefuseUnmarked(status, Form::kPlain));
    fixture.Add("fails", fails);
    SentRequest sent(fixture, RouteKind::kOnce, 2);
    REQUIRE(sent.Await().head.status == status);
    REQUIRE(*sent.Await().head.headers.Find(fixture.headers.signature) ==
            "sig");
  }
}

TEST_CASE(
    "a request that may be repeated gets the upstream's status unchanged") {
  for (const int status : {408, 429, 503}) {
    ForwardFixture fixture;
    FakeUpstream refuses(fixture.loop, RefuseUnmarked(status, Form::kPlain));
    fixture.Add("refuses", refuses);
    SentRequest sent(fixture, RouteKind::kIdempotent, 1);
    REQUIRE(sent.Await().head.status == status);
    REQUIRE(sent.Await().head.headers.Find(fixture.headers.signature) !=
            nullptr);
  }
}

// Guards against a request that runs on more upstreams than its route allows,
// each of which answers 421 without stating that it did not run it.
TEST_CASE("an unmarked 421 counts as an attempt that may have run") {
  ForwardFixture fixture;
  FakeUpstream misdirected(fixture.loop, RefuseUnmarked(421, Form::kPlain));
  for (int i = 0; i < 5; ++i) {
    fixture.Add("u" + std::to_string(i), misdirected);
  }
  SentRequest sent(fixture, RouteKind::kIdempotent, 2);
  REQUIRE(sent.Await().head.status == 502);
  REQUIRE(misdirected.requests.size() == 2);
}

TEST_CASE(
    "a refusal that states so is retried elsewhere, whatever its status") {
  for (const int status : {400, 421, 429, 503}) {
    ForwardFixture fixture;
    proxy::Response refusal = proxy::MakeResponse(status, "{}");
    refusal.head.headers.Add(fixture.headers.not_run, "1");
    FakeUpstream refuses(fixture.loop, RespondWith(refusal));
    FakeUpstream also(fixture.loop, RespondWith(refusal));
    fixture.Add("refuses", refuses);
    fixture.Add("also", also);
    SentRequest sent(fixture, RouteKind::kOnce, 1);
    REQUIRE(sent.Await().head.status == 503);
    REQUIRE(refuses.requests.size() + also.requests.size() == 2);
  }
}

}  // namespace
}  // namespace briarspread::forward
