// Tests that each kind of rule line takes effect on the data path.

#include <catch2/catch.hpp>
#include <mutex>

#include "briarspread/core/http_headers.h"
#include "briarspread/gateway/live_handler.h"
#include "briarspread/gateway/upstream_monitor.h"
#include "briarspread/routing/two_choices_router.h"
#include "briarspread/rules/rule_parser.h"
#include "briarspread/transport/http_server.h"
#include "tests/support/free_port.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

/// Records the requests and ends every exchange with `answer`.
class RecordingClient final : public UpstreamClient {
 public:
  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver* /*receiver*/) override {
    std::lock_guard lock(mutex_);
    sent.push_back(request);
    return answer;
  }
  /// The requests sent.
  std::vector<UpstreamRequest> sent;
  ExchangeOutcome answer;

 private:
  std::mutex mutex_;
};

/// The data path of one entry instance with one engine of the model `desk`.
class DataPath {
 public:
  DataPath() {
    client.answer.stage = ExchangeStage::kEnded;
    client.answer.status = 200;
    client.answer.body = "{}";
    HttpServerSettings settings;
    settings.listen = endpoint_;
    settings.threads = 8;
    server_ = std::make_unique<HttpServer>(settings);
    live_.AddRoutes(server_->routes());
    REQUIRE(IsOk(server_->Start()));
    PublishEngine();
  }

  /// Publishes rules, which are in force from then on.
  void SetRules(const std::string& text) {
    const auto parsed = ParseRules(text);
    REQUIRE(std::holds_alternative<RuleSet>(parsed));
    state_.rules.Publish(
        std::make_unique<const RuleSet>(std::get<RuleSet>(parsed)));
    state_.has_rules = true;
  }

  /// Sends a completion request as customer `andes` and returns the status.
  int Call(const std::string& forwarded_by = "") {
    httplib::Client caller(endpoint_.host, endpoint_.port);
    httplib::Headers sent_headers = {{headers::kCustomer, "andes"},
                                     {headers::kRequestClass, "quote"}};
    if (!forwarded_by.empty()) {
      sent_headers.emplace(headers::kForwardedBy, forwarded_by);
    }
    const auto answer =
        caller.Post("/v1/completions", sent_headers,
                    R"({"model":"desk","prompt":"p"})", "application/json");
    REQUIRE(answer);
    verdict = answer->get_header_value(headers::kVerdict);
    retry_after = answer->get_header_value(headers::kRetryAfter);
    return answer->status;
  }

  RecordingClient client;
  /// Header values of the last answer.
  std::string verdict;
  std::string retry_after;

 private:
  void PublishEngine() {
    UpstreamView engine;
    engine.listed.name = "desk-1";
    engine.listed.kind = InstanceKind::kModelEngine;
    engine.listed.serves = "desk";
    engine.load.slots = 8;
    engine.counters = std::make_shared<UpstreamCounters>();
    auto table = MakeRoutingTable({engine}, Locality{}, links_);
    gates_.Update(*table, RuleSet{});
    state_.routing.Publish(std::move(table));
  }

  const Endpoint endpoint_{"127.0.0.1", testing::FreePort()};
  const InstanceId self_{"entry-1"};
  SystemClock clock_;
  SeededRandom random_{1};
  ControlState state_;
  EntryMetrics metrics_;
  Tracer tracer_{"entry-1", clock_, random_};
  const GatewayContext context_{self_,   state_,   clock_,
                                random_, metrics_, tracer_};
  testing::MemoryStore store_;
  LinkBudget links_;
  TwoChoicesRouter router_{TwoChoicesSettings{}, random_, clock_};
  PoolGates gates_{clock_};
  RefusalTracker refusals_{RefusalTrackerSettings{}};
  UpstreamCaller caller_{context_, router_, client, gates_, refusals_};
  PeerDirectory peers_{self_, "0123456789abcdef", clock_};
  HomeAgent homes_{
      HomeAgentSettings{}, context_, Incarnation(1), store_, client, peers_};
  KeyedRequestRunner keyed_{context_, caller_, homes_, peers_, client};
  LiveHandler live_{context_, caller_, keyed_, peers_};
  std::unique_ptr<HttpServer> server_;
};

TEST_CASE("requests are refused until rules are published") {
  DataPath path;
  REQUIRE(path.Call() == 503);
  REQUIRE(path.verdict == "not-run");
  path.SetRules("priority # Rosa\n");
  REQUIRE(path.Call() == 200);
}

TEST_CASE("an access line denies a class the use of a model") {
  DataPath path;
  path.SetRules("access class=quote serves=rollout # Rosa\n");
  REQUIRE(path.Call() == 403);
  REQUIRE(path.verdict == "not-run");
  REQUIRE(path.client.sent.empty());
  path.SetRules("access class=quote serves=rollout,desk # Rosa\n");
  REQUIRE(path.Call() == 200);
}

TEST_CASE("a limit line refuses requests above its rate, with a retry time") {
  DataPath path;
  path.SetRules("limit customer=andes class=quote rate=1/s # Rosa\n");
  REQUIRE(path.Call() == 200);
  REQUIRE(path.Call() == 429);
  REQUIRE(path.verdict == "not-run");
  REQUIRE(path.retry_after == "1");
  REQUIRE(path.client.sent.size() == 1);
  // A caller that claims to be an instance but has no valid signature.
  REQUIRE(path.Call("entry-2") == 429);
  path.SetRules("limit customer=other class=quote rate=1/s # Rosa\n");
  REQUIRE(path.Call() == 200);
}

TEST_CASE("a drain line stops new requests to an upstream") {
  DataPath path;
  path.SetRules("drain upstream=desk-1 # Rosa\n");
  REQUIRE(path.Call() == 503);
  REQUIRE(path.verdict == "not-run");
  path.SetRules("drain upstream=desk-2 # Rosa\n");
  REQUIRE(path.Call() == 200);
}

TEST_CASE("the level of a priority line is sent to the engine") {
  DataPath path;
  path.SetRules("priority class=quote level=2 # Rosa\n");
  REQUIRE(path.Call() == 200);
  REQUIRE(path.client.sent.back().body.find("\"priority\":2") !=
          std::string::npos);
}

TEST_CASE(
    "a request that may have run is retried only with an idempotent line") {
  DataPath path;
  path.client.answer.stage = ExchangeStage::kSent;
  path.SetRules("idempotent service=desk value=no # Rosa\n");
  REQUIRE(path.Call() == 503);
  REQUIRE(path.verdict == "may-have-run");
  REQUIRE(path.client.sent.size() == 1);
  REQUIRE_FALSE(path.client.sent.back().may_reuse_connection);
  path.SetRules("idempotent service=desk value=yes # Rosa\n");
  REQUIRE(path.Call() == 503);
  REQUIRE(path.client.sent.back().may_reuse_connection);
}

}  // namespace
}  // namespace briarspread
