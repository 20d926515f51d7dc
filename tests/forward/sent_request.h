#ifndef TESTS_FORWARD_SENT_REQUEST_H_
#define TESTS_FORWARD_SENT_REQUEST_H_

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "briarspread/forward/live_request.h"
#include "tests/forward/forward_fixture.h"

namespace briarspread::forward {

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
inline FakeUpstream::RespondFunction RespondWith(
    const proxy::Response& response) {
  return [response](const proxy::Request&, const ResponderPtr& responder) {
    responder->Send(response);
  };
}

inline FakeUpstream::RespondFunction NeverRespond() {
  return [](const proxy::Request&, const ResponderPtr&) {};
}

inline FakeUpstream::RespondFunction BreakOff() {
  return [](const proxy::Request&, const ResponderPtr& responder) {
    responder->Abort();
  };
}

struct SentRequest {
  SentRequest(ForwardFixture& fixture, RouteKind kind,
              std::uint32_t max_attempts = 2, milliseconds time = seconds(20),
              bool is_resumable = false,
              milliseconds min_stall_timeout = seconds(4),
              std::optional<accounts::AccountId> account = std::nullopt)
      : fixture(fixture) {
    LiveRequestSpec spec;
    spec.account = std::move(account);
    spec.request.head.method = "POST";
    spec.request.head.target = "/x/1";
    spec.request.head.headers.Add("Host", "h");
    spec.request.head.headers.Add(fixture.headers.attempt_id, "id-1");
    spec.request.head.headers.Add(fixture.headers.deadline, "999999");
    spec.request.body = "body";
    spec.route.kind = kind;
    spec.stall_detection.check_interval = milliseconds(10);
    spec.stall_detection.min_stall_timeout = min_stall_timeout;
    spec.route.is_resumable = is_resumable;
    spec.route.max_attempts = max_attempts;
    spec.route.backends = {{ServiceName("s"), 1}};
    spec.arrived = fixture.clock.Now();
    spec.deadline = spec.arrived + time;
    request =
        std::make_shared<LiveRequest>(fixture.context, std::move(spec), sink);
    request->Start();
  }
  const proxy::Response& Await() {
    fixture.Await([this] { return sink.answer.has_value(); });
    return *sink.answer;
  }

  ForwardFixture& fixture;
  RecordingSink sink;
  std::shared_ptr<LiveRequest> request;
};

inline proxy::Response NotRunResponse(const ExchangeHeaders& headers) {
  proxy::Response response = proxy::MakeResponse(503, "{}");
  response.head.headers.Add(headers.not_run, "1");
  return response;
}

/// Returns a function that streams the events up to `last`, beginning after the
/// last event that the request names. After `breaks_after` events it breaks off
/// in the middle of the next one.
inline FakeUpstream::RespondFunction StreamEvents(
    const ExchangeHeaders& headers, std::uint64_t last,
    std::uint64_t breaks_after, const std::string& type = "") {
  return [&headers, last, breaks_after, type](const proxy::Request& request,
                                              const ResponderPtr& responder) {
    proxy::ResponseHead head;
    head.status = 200;
    head.headers.Add(headers.signature, "sig");
    if (!type.empty()) head.headers.Add("Content-Type", type);
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

inline std::string EventsUpTo(std::uint64_t last) {
  std::string events;
  for (std::uint64_t n = 1; n <= last; ++n) {
    events +=
        "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + "\n\n";
  }
  return events;
}

}  // namespace briarspread::forward

#endif  // TESTS_FORWARD_SENT_REQUEST_H_
