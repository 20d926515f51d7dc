#ifndef TESTS_PLATFORM_EDGE_FIXTURE_H_
#define TESTS_PLATFORM_EDGE_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "briarspread/proxy/http_call.h"
#include "platform/edge_node.h"
#include "platform/wire_names.h"
#include "tests/platform/store_stand_in.h"
#include "tests/support/free_port.h"
#include "tests/support/loop_runner.h"

namespace briarspread::platform {

/// A fake replica of both services: answers plain requests and sends event
/// streams.
class FakeReplica final : public proxy::RequestHandler {
 public:
  explicit FakeReplica(asio::io_context& loop) : listener_(loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    ++requests;
    if (request.head.target.starts_with("/stream/")) {
      StreamTo(request, responder);
      return;
    }
    if (aborts_responses) {
      responder->Abort();
      return;
    }
    proxy::Response response = proxy::MakeResponse(200, "whole");
    response.head.headers.Add("X-Server-Stamp", "sig");
    response.head.headers.Add("X-Attempt-Id",
                              *request.head.headers.Find("X-Attempt-Id"));
    if (is_leaving) response.head.headers.Add("Server-Leaving", "1");
    if (!limit.empty()) response.head.headers.Add("Server-Limit", limit);
    if (request.head.target.starts_with("/roll/")) {
      response.head.headers.Add("X-Weight-Versions", "1");
      response.head.headers.Set("Content-Type", "text/event-stream");
      response.body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    }
    responder->Send(response);
  }

  std::string Registration(const std::string& service,
                           const std::string& software = "v1") const {
    return nlohmann::json{
        {"Service", service},
        {"Version", software},
        {"Address", "127.0.0.1:" + std::to_string(listener_.port())},
        {"Zone", "z"},
        {"Slots", 4},
        {"State", "ready"},
        {"born", 1},
        {"Models", {{{"Name", "m"}, {"Version", 1}}}}}
        .dump();
  }
  int requests = 0;
  /// Whether plain requests are aborted without a response, and streams aborted
  /// after two events.
  bool aborts_responses = false;
  /// Whether its responses carry the header that announces its departure.
  bool is_leaving = false;
  /// The limit that its responses name, in requests a second; empty for none.
  std::string limit;

 private:
  /// Sends a stream of four events, starting after the last event that the
  /// caller has. Aborts after two more events if `aborts_responses` is set.
  void StreamTo(const proxy::Request& request,
                const std::shared_ptr<proxy::Responder>& responder) const {
    constexpr std::uint64_t kLast = 4;
    proxy::ResponseHead head;
    head.status = 200;
    head.headers.Add("X-Server-Stamp", "sig");
    head.headers.Add("Content-Type", "text/event-stream");
    head.headers.Add("X-Attempt-Id",
                     *request.head.headers.Find("X-Attempt-Id"));
    responder->Start(head);
    std::uint64_t n =
        request.head.headers.FindNumber("Last-Event-Id").value_or(0);
    const std::uint64_t last = aborts_responses ? n + 2 : kLast;
    while (n < std::min(last, kLast)) {
      ++n;
      responder->Write("id: " + std::to_string(n) + "\ndata: x\n\n");
    }
    if (n < kLast) {
      responder->Write("id: ");
      responder->SetOnDrained([responder] {
        if (responder->unsent() == 0) responder->Abort();
      });
      return;
    }
    responder->End();
  }

  proxy::HttpListener listener_;
};

/// Returns the JSON text of a configuration with a route of each kind.
inline std::string MakeConfiguration(int version) {
  return nlohmann::json{
      {"Version", version},
      {"Routes",
       {{{"Host", "h"},
         {"Prefix", "/plain/"},
         {"Type", "safe"},
         {"TimeoutMs", 5000},
         {"Service", "desk"},
         {"MaxAttempts", 2}},
        {{"Host", "h"},
         {"Prefix", "/once/"},
         {"Type", "unsafe"},
         {"TimeoutMs", 5000},
         {"Service", "desk"},
         {"MaxAttempts", 3}},
        {{"Host", "h"},
         {"Prefix", "/stream/"},
         {"Type", "stream"},
         {"Resumable", true},
         {"TimeoutMs", 5000},
         {"Service", "desk"},
         {"MaxAttempts", 3}},
        {{"Host", "h"},
         {"Prefix", "/roll/"},
         {"Type", "rollout"},
         {"DueMs", 5000},
         {"ItemTtlS", 40},
         {"MaxAttempts", 2},
         {"Service", "llm"}}}},
      {"Services",
       {{{"Name", "desk"}},
        {{"Name", "llm"}, {"Engine", {{"Models", {{{"Name", "m"}}}}}}}}}}
      .dump();
}

/// Test fixture: the platform's store and a replica, on loopback, with helpers
/// to run and call edge instances.
struct EdgeFixture {
  EdgeFixture() : store(loop), replica(loop), random(3), pool(loop, {}) {
    store.memory().Write("op/config", MakeConfiguration(4));
    store.memory().Write("servers/desk", replica.Registration("desk"));
    store.memory().Write("servers/llm", replica.Registration("llm"));
  }

  PlatformSettings Settings(const std::string& name) const {
    PlatformSettings settings;
    settings.instance = InstanceId(name);
    settings.locality = Locality{RegionId("r"), ZoneId("z")};
    settings.zones[ZoneId("z")] = RegionId("r");
    settings.store = store.endpoint();
    const auto at = [] {
      return Endpoint{"127.0.0.1", briarspread::testing::FreePort()};
    };
    settings.frontend = at();
    settings.ready = at();
    settings.peer = at();
    return settings;
  }

  /// Runs the loop and delivers store answers until `is_done()` is true. Fails
  /// the test after the limit of `RunUntil`.
  template <typename IsDone>
  void Await(const IsDone& is_done) {
    REQUIRE(briarspread::testing::RunUntil(loop, [&] {
      store.Deliver();
      return is_done();
    }));
  }

  proxy::Response Call(const Endpoint& to, const std::string& method,
                       const std::string& target, const std::string& body = "",
                       const std::string& id = "id-1",
                       const std::vector<proxy::Header>& more = {}) {
    const proxy::CallResult result =
        TryCall(to, method, target, body, id, more);
    REQUIRE(std::holds_alternative<proxy::Response>(result));
    return std::get<proxy::Response>(result);
  }

  /// Like `Call`, but the answer may also break off.
  proxy::CallResult TryCall(const Endpoint& to, const std::string& method,
                            const std::string& target, const std::string& body,
                            const std::string& id,
                            const std::vector<proxy::Header>& more = {}) {
    proxy::RequestHead head;
    head.method = method;
    head.target = target;
    head.headers.Add("Host", "h");
    head.headers.Add("X-Attempt-Id", id);
    for (const proxy::Header& line : more) {
      head.headers.Add(line.name, line.value);
    }
    proxy::ExchangeRequest request;
    request.to = to;
    request.bytes = proxy::RequestBytes::Make(head, body);
    std::optional<proxy::CallResult> result;
    proxy::StartCall(pool, std::move(request),
                     [&](proxy::CallResult got) { result = std::move(got); });
    Await([&] { return result.has_value(); });
    return *result;
  }

  /// Polls job `job-1` until it has `n` results, and returns the page.
  nlohmann::json AwaitResults(const Endpoint& to, std::size_t n) {
    nlohmann::json json;
    for (int i = 0; i < 300000 && json["Results"].size() < n; ++i) {
      const auto page = Call(to, "GET", "/briarspread/lots/job-1?After=0");
      if (page.head.status == 200) json = nlohmann::json::parse(page.body);
    }
    REQUIRE(json["Results"].size() == n);
    return json;
  }

  asio::io_context loop;
  SystemClock clock;
  StoreStandIn store;
  FakeReplica replica;
  SeededRandom random;
  proxy::ConnectionPool pool;
};

/// Submission of a batch job of two items, one of them with a reward call.
inline const std::string kSubmission =
    R"({"Step":0,"Model":"m","MinVersion":1,"TargetGroups":1,"Items":[
    {"Id":"a","Path":"/roll/1","Headers":{},"Body":"q83v","Tokens":9,"Group":"g",
     "Scorer":{"Id":"s","Host":"h","Path":"/plain/score","Body":""}},
    {"Id":"b","Path":"/roll/2","Headers":{},"Body":"","Tokens":9,"Group":"g"}]})";

/// A started edge instance; the constructor waits until it is ready.
struct ReadyInstance {
  ReadyInstance(EdgeFixture& fixture, const PlatformSettings& settings)
      : settings(settings),
        node(fixture.loop, settings, fixture.clock, fixture.random) {
    const Status started = node.Start();
    INFO((IsOk(started) ? std::string() : ErrorOf(started).message));
    REQUIRE(IsOk(started));
    fixture.Await([this] { return node.IsReady(); });
  }
  const PlatformSettings settings;
  EdgeNode node;
};

}  // namespace briarspread::platform

#endif  // TESTS_PLATFORM_EDGE_FIXTURE_H_
