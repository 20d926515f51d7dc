#include "platform/edge_node.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "briarspread/proxy/http_call.h"
#include "platform/storage_node.h"
#include "platform/wire_names.h"
#include "tests/platform/store_stand_in.h"
#include "tests/support/free_port.h"
#include "tests/support/loop_runner.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

/// A replica of both services: answers plain requests and makes events.
class Replica final : public proxy::RequestHandler {
 public:
  explicit Replica(asio::io_context& loop) : listener_(loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    ++requests;
    if (request.head.target.starts_with("/stream/")) {
      StreamTo(request, responder);
      return;
    }
    if (breaks) {
      responder->Abort();
      return;
    }
    proxy::Response response = proxy::MakeResponse(200, "whole");
    response.head.headers.Add("X-Server-Stamp", "sig");
    response.head.headers.Add("X-Attempt-Id",
                              *request.head.headers.Find("X-Attempt-Id"));
    if (leaves) response.head.headers.Add("Server-Leaving", "1");
    if (request.head.target.starts_with("/roll/")) {
      response.head.headers.Add("X-Weight-Versions", "1");
      response.body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    }
    responder->Send(response);
  }

  std::string Entry(const std::string& service) const {
    return Json{{"Service", service},
                {"Address", "127.0.0.1:" + std::to_string(listener_.port())},
                {"Zone", "z"},
                {"Slots", 4},
                {"State", "ready"},
                {"born", 1},
                {"Models", {{{"Name", "m"}, {"Version", 1}}}}}
        .dump();
  }
  int requests = 0;
  /// Whether plain requests and streams break off.
  bool breaks = false;
  /// Whether its answers say that it leaves.
  bool leaves = false;

 private:
  /// Four events, after the last that the caller has; two before a break.
  void StreamTo(const proxy::Request& request,
                const std::shared_ptr<proxy::Responder>& responder) const {
    constexpr std::uint64_t kLast = 4;
    proxy::ResponseHead head;
    head.status = 200;
    head.headers.Add("X-Server-Stamp", "sig");
    head.headers.Add("Content-Type", "text/event-stream");
    responder->Start(head);
    std::uint64_t n =
        request.head.headers.FindNumber("Last-Event-Id").value_or(0);
    const std::uint64_t last = breaks ? n + 2 : kLast;
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

std::string Configuration(int version) {
  return Json{
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

/// The platform, and instances on it.
struct World {
  World() : store(loop), replica(loop), random(3), pool(loop, {}) {
    store.memory().Write("op/config", Configuration(4));
    store.memory().Write("servers/desk", replica.Entry("desk"));
    store.memory().Write("servers/llm", replica.Entry("llm"));
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

  template <typename IsDone>
  void Await(const IsDone& is_done) {
    REQUIRE(briarspread::testing::RunUntil(loop, [&] {
      store.Deliver();
      return is_done();
    }));
  }

  proxy::Response Call(const Endpoint& to, const std::string& method,
                       const std::string& target, const std::string& body = "",
                       const std::string& id = "id-1") {
    proxy::RequestHead head;
    head.method = method;
    head.target = target;
    head.headers.Add("Host", "h");
    head.headers.Add("X-Attempt-Id", id);
    proxy::ExchangeOrder order;
    order.to = to;
    order.bytes = proxy::Serialize(head, body);
    std::optional<proxy::CallResult> result;
    proxy::StartCall(pool, std::move(order),
                     [&](proxy::CallResult got) { result = std::move(got); });
    Await([&] { return result.has_value(); });
    REQUIRE(std::holds_alternative<proxy::Response>(*result));
    return std::get<proxy::Response>(*result);
  }

  /// Reads a job until it has `n` results.
  Json AwaitResults(const Endpoint& to, std::size_t n) {
    Json json;
    for (int i = 0; i < 300000 && json["Results"].size() < n; ++i) {
      const auto page = Call(to, "GET", "/briarspread/lots/job-1?After=0");
      if (page.head.status == 200) json = Json::parse(page.body);
    }
    REQUIRE(json["Results"].size() == n);
    return json;
  }

  asio::io_context loop;
  SystemClock clock;
  StoreStandIn store;
  Replica replica;
  SeededRandom random;
  proxy::ConnectionPool pool;
};

const std::string kSubmission =
    R"({"Step":0,"Model":"m","MinVersion":1,"TargetGroups":1,"Items":[
    {"Id":"a","Path":"/roll/1","Headers":{},"Body":"q83v","Tokens":9,"Group":"g",
     "Scorer":{"Id":"s","Host":"h","Path":"/plain/score","Body":""}},
    {"Id":"b","Path":"/roll/2","Headers":{},"Body":"","Tokens":9,"Group":"g"}]})";

struct Node {
  Node(World& world, const PlatformSettings& settings)
      : settings(settings),
        node(world.loop, settings, world.clock, world.random) {
    REQUIRE(IsOk(node.Start()));
    world.Await([this] { return node.IsReady(); });
  }
  const PlatformSettings settings;
  EdgeNode node;
};

TEST_CASE("an instance is ready with a configuration, and serves by it") {
  World world;
  Node edge(world, world.Settings("one"));
  REQUIRE(world.Call(*edge.settings.ready, "GET", kReadyPath).head.status ==
          200);
  const auto answer = world.Call(*edge.settings.frontend, "POST", "/plain/x");
  REQUIRE(answer.head.status == 200);
  REQUIRE(answer.body == "whole");
  REQUIRE(*answer.head.headers.Find("X-Server-Stamp") == "sig");
  REQUIRE(world.Call(*edge.settings.frontend, "GET", "/none/").head.status ==
          404);
  const auto metrics = world.Call(*edge.settings.peer, "GET", "/metrics");
  REQUIRE(metrics.body.find("briarspread_ready 1") != std::string::npos);
}

TEST_CASE("an instance without a configuration promises that nothing ran") {
  World world;
  world.store.SetRefusal(503);
  const PlatformSettings settings = world.Settings("one");
  EdgeNode node(world.loop, settings, world.clock, world.random);
  REQUIRE(IsOk(node.Start()));
  REQUIRE(world.Call(*settings.ready, "GET", kReadyPath).head.status == 503);
  REQUIRE(world.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          503);
}

TEST_CASE("a configuration in the store takes over, an older one does not") {
  World world;
  Node edge(world, world.Settings("one"));
  const Endpoint at = *edge.settings.frontend;
  Json changed = Json::parse(Configuration(9));
  changed["Routes"][0]["Prefix"] = "/moved/";
  world.store.memory().Write("op/config", changed.dump());
  world.Await(
      [&] { return world.Call(at, "POST", "/moved/x").head.status == 200; });
  world.store.memory().Write("op/config", Configuration(5));
  world.store.memory().Write("op/config", "broken");
  changed["Version"] = 12;
  changed["Routes"][0]["Prefix"] = "/again/";
  world.store.memory().Write("op/config", changed.dump());
  world.Await(
      [&] { return world.Call(at, "POST", "/again/x").head.status == 200; });
  REQUIRE(world.Call(at, "POST", "/plain/x").head.status == 404);
}

TEST_CASE("a batch job is run, scored, read anywhere, and ended") {
  World world;
  Node one(world, world.Settings("one"));
  Node two(world, world.Settings("two"));
  const Endpoint at_one = *one.settings.frontend;
  const Endpoint at_two = *two.settings.frontend;
  REQUIRE(world.Call(at_one, "POST", "/roll/job-1", kSubmission, "job-1")
              .head.status == 202);
  // The same job again, at another instance.
  REQUIRE(world.Call(at_two, "POST", "/roll/job-1", kSubmission, "job-1")
              .head.status == 202);
  const Json first = world.AwaitResults(at_one, 2);
  const Json second = world.AwaitResults(at_two, 2);
  REQUIRE(first["Results"] == second["Results"]);
  REQUIRE(first["Total"] == 2);
  for (const Json& result : first["Results"]) {
    REQUIRE(result["State"] == "complete");
    REQUIRE(result["Text"] == "a\nb");
    REQUIRE(result["Versions"] == Json{1});
    if (result["Id"] == "a") REQUIRE(result["Score"] == "sig");
  }
  REQUIRE(world.Call(at_two, "GET", "/briarspread/items/job-1?Id=a").body ==
          "\xab\xcd\xef");
  REQUIRE(world.Call(at_two, "GET", "/briarspread/items/job-1?Id=none")
              .head.status == 404);
  REQUIRE(world.Call(at_two, "GET", "/briarspread/lots/none").head.status ==
          404);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(
        world.Call(at_two, "DELETE", "/briarspread/lots/job-1").head.status ==
        200);
  }
  REQUIRE(world.replica.requests == 3);
}

TEST_CASE("a job outlives all instances, and its results do not change") {
  World world;
  const PlatformSettings settings = world.Settings("one");
  Json before;
  {
    Node one(world, settings);
    REQUIRE(world
                .Call(*settings.frontend, "POST", "/roll/job-1", kSubmission,
                      "job-1")
                .head.status == 202);
    before = world.AwaitResults(*settings.frontend, 2);
    world.store.memory().Disconnect();
  }
  Node again(world, world.Settings("one"));
  const Json after = world.AwaitResults(*again.settings.frontend, 2);
  REQUIRE(after["Results"] == before["Results"]);
}

TEST_CASE("a malformed or refused submission promises that nothing runs") {
  World world;
  Node edge(world, world.Settings("one"));
  const Endpoint at = *edge.settings.frontend;
  REQUIRE(world.Call(at, "POST", "/roll/x", "no json", "job-1").head.status ==
          400);
  world.store.SetRefusal(503);
  const auto refused =
      world.Call(at, "POST", "/roll/job-1", kSubmission, "job-1");
  REQUIRE(refused.head.status == 503);
  REQUIRE(refused.head.headers.Find("Retry-After") != nullptr);
  REQUIRE(world.replica.requests == 0);
}

TEST_CASE("a request that may run once is sent once, and promises nothing") {
  World world;
  world.replica.breaks = true;
  Node edge(world, world.Settings("one"));
  const auto answer = world.Call(*edge.settings.frontend, "POST", "/once/x");
  REQUIRE(answer.head.status == 502);
  REQUIRE(world.replica.requests == 1);
}

TEST_CASE("a resumable stream is whole though its replica breaks it off") {
  World world;
  world.replica.breaks = true;
  Node edge(world, world.Settings("one"));
  const auto answer = world.Call(*edge.settings.frontend, "GET", "/stream/x");
  REQUIRE(answer.head.status == 200);
  REQUIRE(*answer.head.headers.Find("X-Server-Stamp") == "sig");
  REQUIRE(answer.body ==
          "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
          "id: 4\ndata: x\n\n");
  REQUIRE(world.replica.requests == 2);
}

TEST_CASE("a request that crashes replicas is refused at all instances") {
  World world;
  world.replica.breaks = true;
  Node one(world, world.Settings("one"));
  Node two(world, world.Settings("two"));
  const std::vector<Endpoint> at = {*one.settings.frontend,
                                    *two.settings.frontend};
  for (const Node* node : {&one, &two}) {
    world.Await([&] {
      return node->node.FormatMetrics().find("briarspread_instances 2") !=
             std::string::npos;
    });
  }
  for (int i = 0; i < 3; ++i) {
    REQUIRE(world.Call(at[static_cast<std::size_t>(i) % 2], "POST", "/once/x")
                .head.status == 502);
    // The replica starts anew at its address, under its id.
    Json entry = Json::parse(world.replica.Entry("desk"));
    entry["born"] = 2 + i;
    world.store.memory().Write("servers/desk", entry.dump());
    const std::string known =
        "briarspread_upstream_deaths_known " + std::to_string(i + 1);
    for (const Node* node : {&one, &two}) {
      world.Await([&] {
        return node->node.FormatMetrics().find(known) != std::string::npos;
      });
    }
  }
  for (const Endpoint& endpoint : at) {
    REQUIRE(world.Call(endpoint, "POST", "/once/x").head.status == 503);
  }
  REQUIRE(world.replica.requests == 3);
  // Another request is served.
  world.replica.breaks = false;
  REQUIRE(world.Call(at[0], "POST", "/once/y").head.status == 200);
}

/// Whether an instance knows of departures of so many upstreams.
bool KnowsDepartures(World& world, const PlatformSettings& settings,
                     std::size_t n) {
  const auto answer = world.Call(*settings.peer, "GET", "/v1/departures");
  return Json::parse(answer.body).size() == n;
}

TEST_CASE("a replica that says that it leaves gets nothing more from anybody") {
  World world;
  Replica second(world.loop);
  const PlatformSettings settings = world.Settings("one");
  Node two(world, world.Settings("two"));
  {
    Node one(world, settings);
    for (const Node* node : {&one, &two}) {
      world.Await([&] {
        return node->node.FormatMetrics().find("briarspread_instances 2") !=
               std::string::npos;
      });
    }
    world.replica.leaves = true;
    REQUIRE(world.Call(*settings.frontend, "POST", "/plain/x").head.status ==
            200);
    REQUIRE(KnowsDepartures(world, settings, 1));
    // The store's list still has it as ready, and gets it once more.
    world.store.memory().Write("servers/desk", world.replica.Entry("desk"));
    world.store.memory().Write("servers/desk-2", second.Entry("desk"));
    world.Await([&] {
      return one.node.FormatMetrics().find("briarspread_upstreams 3") !=
             std::string::npos;
    });
    world.replica.requests = 0;
    for (int i = 0; i < 5; ++i) {
      REQUIRE(world.Call(*settings.frontend, "POST", "/plain/x").head.status ==
              200);
    }
    REQUIRE(world.replica.requests == 0);
    // Another instance was told before it has sent anything there.
    world.Await([&] { return KnowsDepartures(world, two.settings, 1); });
    REQUIRE(
        world.Call(*two.settings.frontend, "POST", "/plain/x").head.status ==
        200);
    REQUIRE(world.replica.requests == 0);
  }
  // The first one starts again, with the store's list as it was.
  Node again(world, world.Settings("one"));
  REQUIRE(KnowsDepartures(world, again.settings, 1));
  for (int i = 0; i < 5; ++i) {
    REQUIRE(
        world.Call(*again.settings.frontend, "POST", "/plain/x").head.status ==
        200);
  }
  REQUIRE(world.replica.requests == 0);
  // A later start of the replica is in use again.
  world.replica.leaves = false;
  Json entry = Json::parse(world.replica.Entry("desk"));
  entry["born"] = 2;
  world.store.memory().Write("servers/desk", entry.dump());
  world.store.memory().Erase("servers/desk-2");
  world.Await([&] {
    return world.Call(*again.settings.frontend, "POST", "/plain/x")
               .head.status == 200;
  });
  REQUIRE(world.replica.requests == 1);
}

/// Bodies of calls between instances and of the store that are wrong in form,
/// in type, or in depth.
std::vector<std::string> WrongBodies() {
  std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "{}",
      "null",
      "1",
      "\"x\"",
      "[1,2]",
      "[[[]]]",
      "{\"reports\":1}",
      "{\"engines\":\"x\"}",
      "\xff\xfe",
      R"([{"id":7,"start":"x"}])",
      R"({"operator":[],"upstreams":7})",
      R"({"Step":"x","Model":7,"Items":{"a":1}})",
      R"({"Items":[{"Id":1,"Path":2,"Headers":[],"Body":3,"Tokens":"x"}]})"};
  bodies.push_back(std::string(2000, '['));
  return bodies;
}

TEST_CASE("no malformed call of a peer or caller ends an instance") {
  World world;
  Node edge(world, world.Settings("one"));
  for (const std::string& body : WrongBodies()) {
    for (const char* path :
         {"/v1/departures", "/v1/suspects", "/v1/engine-loads", "/v1/jobs",
          "/v1/job-notices?id=j&index=x", "/v1/store-calls",
          "/v1/store-calls?method=POST&target=x&timeout=y",
          "/v1/listing?prefix=x", "/v1/changes?prefix=x&after=z&wait=-1",
          "/v1/jobs/j", "/v1/jobs/j/adoption?index=x&record_bytes=99999",
          "/v1/jobs/j/results?after=x", "/v1/snapshot", "/v1/ping"}) {
      INFO(path << " " << body);
      const auto answer = world.Call(*edge.settings.peer, "POST", path, body);
      REQUIRE(answer.head.status >= 200);
      REQUIRE(answer.head.status != 500);
    }
    for (const char* path : {"/roll/j", "/plain/x", "/briarspread/lots/%zz",
                             "/briarspread/items/x?Id=%"}) {
      INFO(path << " " << body);
      const auto answer =
          world.Call(*edge.settings.frontend, "POST", path, body, "j");
      REQUIRE(answer.head.status != 500);
    }
  }
  REQUIRE(edge.node.IsReady());
}

TEST_CASE("no malformed value of the store ends an instance") {
  World world;
  Node edge(world, world.Settings("one"));
  for (const std::string& body : WrongBodies()) {
    for (const char* key :
         {"op/config", "op/version/m", "op/retire/one", "servers/desk-9",
          "fleet/instances/other", "fleet/order-right", "fleet/unknown"}) {
      world.store.memory().Write(key, body);
    }
  }
  world.store.memory().Write("op/config", Configuration(9));
  world.Await([&] {
    return edge.node.FormatMetrics().find(
               "briarspread_configuration_version 9") != std::string::npos;
  });
  REQUIRE(world.Call(*edge.settings.frontend, "POST", "/plain/x").head.status ==
          200);
}

TEST_CASE("two roles on one machine do not get in each other's way") {
  World world;
  const PlatformSettings settings = world.Settings("both");
  StorageNode storage(world.loop, settings, world.clock, world.random);
  storage.Start();
  Node edge(world, settings);
  REQUIRE(world.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          200);
  world.store.memory().Write("op/retire/both", "{\"DurationS\":10}");
  world.Await([&] {
    return world.store.memory().items().contains("status/retire/both");
  });
  REQUIRE(world.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          200);
}

TEST_CASE("a request to empty a machine with a disk is answered") {
  World world;
  PlatformSettings settings = world.Settings("disk-1");
  StorageNode node(world.loop, settings, world.clock, world.random);
  node.Start();
  world.store.memory().Write("op/retire/disk-1", "{\"DurationS\":10}");
  world.Await([&] {
    return world.store.memory().items().contains("status/retire/disk-1");
  });
  REQUIRE(world.store.memory().items().at("status/retire/disk-1").value ==
          "{\"State\":\"complete\"}");
}

}  // namespace
}  // namespace briarspread::platform
