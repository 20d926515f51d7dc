#include "platform/edge_node.h"

#include <catch2/catch.hpp>

#include "briarspread/fleet/watch_delegates.h"
#include "platform/storage_node.h"
#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

TEST_CASE("an instance with a configuration is ready and serves its routes") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  REQUIRE(fixture.Call(*edge.settings.ready, "GET", kReadyPath).head.status ==
          200);
  const auto answer = fixture.Call(*edge.settings.frontend, "POST", "/plain/x");
  REQUIRE(answer.head.status == 200);
  REQUIRE(answer.body == "whole");
  REQUIRE(*answer.head.headers.Find("X-Server-Stamp") == "sig");
  REQUIRE(fixture.Call(*edge.settings.frontend, "GET", "/none/").head.status ==
          404);
  const auto metrics = fixture.Call(*edge.settings.peer, "GET", "/metrics");
  REQUIRE(metrics.body.find("briarspread_ready 1") != std::string::npos);
}

TEST_CASE("an instance without a configuration answers 503") {
  EdgeFixture fixture;
  fixture.store.SetRefusalStatus(503);
  const PlatformSettings settings = fixture.Settings("one");
  EdgeNode node(fixture.loop, settings, fixture.clock, fixture.random);
  REQUIRE(IsOk(node.Start()));
  REQUIRE(fixture.Call(*settings.ready, "GET", kReadyPath).head.status == 503);
  REQUIRE(fixture.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          503);
}

TEST_CASE(
    "a newer configuration takes effect; older and malformed ones do not") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  const Endpoint at = *edge.settings.frontend;
  Json changed = Json::parse(MakeConfiguration(9));
  changed["Routes"][0]["Prefix"] = "/moved/";
  fixture.store.memory().Write("op/config", changed.dump());
  fixture.Await(
      [&] { return fixture.Call(at, "POST", "/moved/x").head.status == 200; });
  fixture.store.memory().Write("op/config", MakeConfiguration(5));
  fixture.store.memory().Write("op/config", "broken");
  changed["Version"] = 12;
  changed["Routes"][0]["Prefix"] = "/again/";
  fixture.store.memory().Write("op/config", changed.dump());
  fixture.Await(
      [&] { return fixture.Call(at, "POST", "/again/x").head.status == 200; });
  REQUIRE(fixture.Call(at, "POST", "/plain/x").head.status == 404);
}

TEST_CASE("a batch job is run and scored, and can be read and ended anywhere") {
  EdgeFixture fixture;
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  const Endpoint at_one = *one.settings.frontend;
  const Endpoint at_two = *two.settings.frontend;
  REQUIRE(fixture.Call(at_one, "POST", "/roll/job-1", kSubmission, "job-1")
              .head.status == 202);
  // Submits the same job again, at the other instance.
  REQUIRE(fixture.Call(at_two, "POST", "/roll/job-1", kSubmission, "job-1")
              .head.status == 202);
  const Json first = fixture.AwaitResults(at_one, 2);
  const Json second = fixture.AwaitResults(at_two, 2);
  REQUIRE(first["Results"] == second["Results"]);
  REQUIRE(first["Total"] == 2);
  for (const Json& result : first["Results"]) {
    REQUIRE(result["State"] == "complete");
    REQUIRE(result["Text"] == "a\nb");
    REQUIRE(result["Versions"] == Json{1});
    if (result["Id"] == "a") REQUIRE(result["Score"] == "sig");
  }
  REQUIRE(fixture.Call(at_two, "GET", "/briarspread/items/job-1?Id=a").body ==
          "\xab\xcd\xef");
  REQUIRE(fixture.Call(at_two, "GET", "/briarspread/items/job-1?Id=none")
              .head.status == 404);
  REQUIRE(fixture.Call(at_two, "GET", "/briarspread/lots/none").head.status ==
          404);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(
        fixture.Call(at_two, "DELETE", "/briarspread/lots/job-1").head.status ==
        200);
  }
  REQUIRE(fixture.replica.requests == 3);
}

TEST_CASE("a job's results stay the same after all instances have restarted") {
  EdgeFixture fixture;
  const PlatformSettings settings = fixture.Settings("one");
  Json before;
  {
    ReadyInstance one(fixture, settings);
    REQUIRE(fixture
                .Call(*settings.frontend, "POST", "/roll/job-1", kSubmission,
                      "job-1")
                .head.status == 202);
    before = fixture.AwaitResults(*settings.frontend, 2);
    fixture.store.memory().Disconnect();
  }
  ReadyInstance again(fixture, fixture.Settings("one"));
  const Json after = fixture.AwaitResults(*again.settings.frontend, 2);
  REQUIRE(after["Results"] == before["Results"]);
}

TEST_CASE("a rejected submission is answered 400 or 503 and nothing runs") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  const Endpoint at = *edge.settings.frontend;
  REQUIRE(fixture.Call(at, "POST", "/roll/x", "no json", "job-1").head.status ==
          400);
  fixture.store.SetRefusalStatus(503);
  const auto refused =
      fixture.Call(at, "POST", "/roll/job-1", kSubmission, "job-1");
  REQUIRE(refused.head.status == 503);
  REQUIRE(refused.head.headers.Find("Retry-After") != nullptr);
  REQUIRE(fixture.replica.requests == 0);
}

TEST_CASE("a non-idempotent request is sent once and answered 502 on failure") {
  EdgeFixture fixture;
  fixture.replica.aborts_responses = true;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  const auto answer = fixture.Call(*edge.settings.frontend, "POST", "/once/x");
  REQUIRE(answer.head.status == 502);
  REQUIRE(fixture.replica.requests == 1);
}

TEST_CASE("a resumable stream is complete although its replica aborts it") {
  EdgeFixture fixture;
  fixture.replica.aborts_responses = true;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  const auto answer = fixture.Call(*edge.settings.frontend, "GET", "/stream/x");
  REQUIRE(answer.head.status == 200);
  REQUIRE(*answer.head.headers.Find("X-Server-Stamp") == "sig");
  REQUIRE(answer.body ==
          "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
          "id: 4\ndata: x\n\n");
  REQUIRE(fixture.replica.requests == 2);
}

// Guards against starts that each list all prefixes at the store.
TEST_CASE("an instance that starts gets its lists from a seed peer") {
  EdgeFixture fixture;
  // The one that is the delegate of both starts first.
  std::map<InstanceId, InstanceRecord> both;
  for (const char* name : {"one", "two"}) {
    both[InstanceId(name)].name = InstanceId(name);
  }
  std::string first = "one";
  std::string second = "two";
  if (ChooseWatchDelegates(both, RegionId(), InstanceId(second)).empty()) {
    std::swap(first, second);
  }
  ReadyInstance delegate(fixture, fixture.Settings(first));
  PlatformSettings settings = fixture.Settings(second);
  settings.seeds = {*delegate.settings.peer};
  ReadyInstance started(fixture, settings);
  fixture.Await([&] {
    return started.node.FormatMetrics().find("briarspread_instances 2") !=
           std::string::npos;
  });
  const std::string metrics = started.node.FormatMetrics();
  for (const std::string prefix : {"op/", "servers/", "fleet/"}) {
    INFO(prefix);
    REQUIRE(metrics.find("call=\"" + prefix + " peer\"") != std::string::npos);
    REQUIRE(metrics.find("call=\"" + prefix + " store") == std::string::npos);
  }
  REQUIRE(fixture.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          200);
}

TEST_CASE("edge and storage roles work side by side on one machine") {
  EdgeFixture fixture;
  const PlatformSettings settings = fixture.Settings("both");
  StorageNode storage(fixture.loop, settings, fixture.clock, fixture.random);
  storage.Start();
  ReadyInstance edge(fixture, settings);
  REQUIRE(fixture.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          200);
  fixture.store.memory().Write("op/retire/both", "{\"DurationS\":10}");
  fixture.Await([&] {
    return fixture.store.memory().items().contains("status/retire/both");
  });
  REQUIRE(fixture.Call(*settings.frontend, "POST", "/plain/x").head.status ==
          200);
}

TEST_CASE("a request to empty a storage machine is acknowledged") {
  EdgeFixture fixture;
  PlatformSettings settings = fixture.Settings("disk-1");
  StorageNode node(fixture.loop, settings, fixture.clock, fixture.random);
  node.Start();
  fixture.store.memory().Write("op/retire/disk-1", "{\"DurationS\":10}");
  fixture.Await([&] {
    return fixture.store.memory().items().contains("status/retire/disk-1");
  });
  REQUIRE(fixture.store.memory().items().at("status/retire/disk-1").value ==
          "{\"State\":\"complete\"}");
}

}  // namespace
}  // namespace briarspread::platform
