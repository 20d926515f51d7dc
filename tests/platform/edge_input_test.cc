// Tests of an instance's input from replicas, peers, callers and the store:
// departures of replicas, and malformed input.
#include <catch2/catch.hpp>
#include <vector>

#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

/// Returns whether an instance knows the departures of exactly `n` upstreams.
bool KnowsDepartures(EdgeFixture& fixture, const PlatformSettings& settings,
                     std::size_t n) {
  const auto answer = fixture.Call(*settings.peer, "GET", "/v1/departures");
  return Json::parse(answer.body).size() == n;
}

TEST_CASE(
    "no instance sends requests to a replica that announced its departure") {
  EdgeFixture fixture;
  FakeReplica second(fixture.loop);
  const PlatformSettings settings = fixture.Settings("one");
  ReadyInstance two(fixture, fixture.Settings("two"));
  {
    ReadyInstance one(fixture, settings);
    for (const ReadyInstance* instance : {&one, &two}) {
      fixture.Await([&] {
        return instance->node.FormatMetrics().find("briarspread_instances 2") !=
               std::string::npos;
      });
    }
    fixture.replica.is_leaving = true;
    REQUIRE(fixture.Call(*settings.frontend, "POST", "/plain/x").head.status ==
            200);
    REQUIRE(KnowsDepartures(fixture, settings, 1));
    // The store still lists the replica as ready, and its registration is
    // written again.
    fixture.store.memory().Write("servers/desk",
                                 fixture.replica.Registration("desk"));
    fixture.store.memory().Write("servers/desk-2", second.Registration("desk"));
    fixture.Await([&] {
      return one.node.FormatMetrics().find("briarspread_upstreams 3") !=
             std::string::npos;
    });
    fixture.replica.requests = 0;
    for (int i = 0; i < 5; ++i) {
      REQUIRE(
          fixture.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          200);
    }
    REQUIRE(fixture.replica.requests == 0);
    // The other instance learns of the departure without having sent a request
    // to the replica.
    fixture.Await([&] { return KnowsDepartures(fixture, two.settings, 1); });
    REQUIRE(
        fixture.Call(*two.settings.frontend, "POST", "/plain/x").head.status ==
        200);
    REQUIRE(fixture.replica.requests == 0);
  }
  // The first instance restarts. The store still lists the replica as ready.
  ReadyInstance again(fixture, fixture.Settings("one"));
  REQUIRE(KnowsDepartures(fixture, again.settings, 1));
  for (int i = 0; i < 5; ++i) {
    REQUIRE(fixture.Call(*again.settings.frontend, "POST", "/plain/x")
                .head.status == 200);
  }
  REQUIRE(fixture.replica.requests == 0);
  // The replica is used again once it has restarted.
  fixture.replica.is_leaving = false;
  Json entry = Json::parse(fixture.replica.Registration("desk"));
  entry["born"] = 2;
  fixture.store.memory().Write("servers/desk", entry.dump());
  fixture.store.memory().Erase("servers/desk-2");
  fixture.Await([&] {
    return fixture.Call(*again.settings.frontend, "POST", "/plain/x")
               .head.status == 200;
  });
  REQUIRE(fixture.replica.requests == 1);
}

/// Returns bodies that are malformed, have fields of the wrong type, or are
/// nested too deeply.
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

TEST_CASE("an instance survives malformed requests of peers and callers") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  for (const std::string& body : WrongBodies()) {
    for (const char* path :
         {"/v1/departures", "/v1/suspects", "/v1/engine-loads", "/v1/jobs",
          "/v1/job-notices?id=j&index=x", "/v1/store-calls",
          "/v1/store-calls?method=POST&target=x&timeout=y",
          "/v1/listing?prefix=x", "/v1/changes?prefix=x&after=z&wait=-1",
          "/v1/jobs/j", "/v1/jobs/j/adoption?index=x&record_bytes=99999",
          "/v1/jobs/j/results?after=x", "/v1/snapshot", "/v1/ping"}) {
      INFO(path << " " << body);
      const auto answer = fixture.Call(*edge.settings.peer, "POST", path, body);
      REQUIRE(answer.head.status >= 200);
      REQUIRE(answer.head.status != 500);
    }
    for (const char* path : {"/roll/j", "/plain/x", "/briarspread/lots/%zz",
                             "/briarspread/items/x?Id=%"}) {
      INFO(path << " " << body);
      const auto answer =
          fixture.Call(*edge.settings.frontend, "POST", path, body, "j");
      REQUIRE(answer.head.status != 500);
    }
  }
  REQUIRE(edge.node.IsReady());
}

TEST_CASE("an instance survives malformed values in the store") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  for (const std::string& body : WrongBodies()) {
    for (const char* key :
         {"op/config", "op/version/m", "op/retire/one", "servers/desk-9",
          "fleet/instances/other", "fleet/order-right", "fleet/unknown"}) {
      fixture.store.memory().Write(key, body);
    }
  }
  fixture.store.memory().Write("op/config", MakeConfiguration(9));
  fixture.Await([&] {
    return edge.node.FormatMetrics().find(
               "briarspread_configuration_version 9") != std::string::npos;
  });
  REQUIRE(
      fixture.Call(*edge.settings.frontend, "POST", "/plain/x").head.status ==
      200);
}

// Guards against a report of other operators: machines that read a list with
// one odd entry ended again and again, or stopped following it.
TEST_CASE("odd registrations do not keep an instance from following the list") {
  EdgeFixture fixture;
  const std::string odd_numbers =
      R"({"Service":"desk","Address":"127.0.0.1:70000","Zone":"z","Slots":1e300,)"
      R"("State":"ready","born":-1,"Models":[{"Name":"m","Version":1e300}]})";
  const auto add_odd = [&](const std::string& name) {
    auto& memory = fixture.store.memory();
    memory.Write("servers/" + name + "-nested", std::string(900'000, '['));
    memory.Write("servers/" + name + "-numbers", odd_numbers);
    memory.Write("servers/" + name + "-bytes", "\xff\xfe{");
  };
  // Two instances: one may read the list through the other.
  add_odd("listed");
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  add_odd("watched");
  FakeReplica later(fixture.loop);
  fixture.store.memory().Write("servers/later", later.Registration("desk"));
  fixture.store.memory().Erase("servers/desk");
  for (const ReadyInstance* instance : {&one, &two}) {
    fixture.Await([&] {
      const int before = later.requests;
      fixture.Call(*instance->settings.frontend, "POST", "/plain/x");
      return later.requests > before;
    });
  }
}

// Guards against review/11: such an entry, of another writer, ended all
// instances at once.
TEST_CASE("an entry that changes the service of a replica ends no instance") {
  EdgeFixture fixture;
  FakeReplica other(fixture.loop);
  fixture.store.memory().Write("servers/other", other.Registration("desk"));
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  const auto call_both = [&] {
    for (const ReadyInstance* it : {&one, &two}) {
      REQUIRE(fixture.Call(*it->settings.frontend, "POST", "/plain/x")
                  .head.status == 200);
    }
  };
  for (int i = 0; i < 3; ++i) {
    fixture.store.memory().Write(
        "servers/desk",
        fixture.replica.Registration("unheard-of-" + std::to_string(i)));
    // Until neither instance sends anything there any more.
    fixture.Await([&] {
      const int before = fixture.replica.requests;
      for (int n = 0; n < 8; ++n) call_both();
      return fixture.replica.requests == before;
    });
    // The replica's own heartbeat restores its entry.
    fixture.store.memory().Write("servers/desk",
                                 fixture.replica.Registration("desk"));
    fixture.Await([&] {
      const int before = fixture.replica.requests;
      call_both();
      return fixture.replica.requests > before;
    });
  }
}

}  // namespace
}  // namespace briarspread::platform
