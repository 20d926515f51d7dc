#include <catch2/catch.hpp>

#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

/// Requests a stream as the attempt `id`, in place of the earlier attempt
/// `resumed`, of which two events arrived; from the beginning if it is empty.
int RequestStream(EdgeFixture& fixture, const ReadyInstance& at,
                  const std::string& id, const std::string& resumed = "") {
  proxy::RequestHead head;
  head.method = "POST";
  head.target = "/stream/x";
  head.headers.Add("Host", "h");
  head.headers.Add("X-Attempt-Id", id);
  if (!resumed.empty()) {
    head.headers.Add("Last-Event-Id", "2");
    head.headers.Add("Resumes", resumed);
  }
  proxy::ExchangeRequest request;
  request.to = *at.settings.frontend;
  request.bytes = proxy::RequestBytes::Make(head, "");
  std::optional<proxy::CallResult> result;
  proxy::StartCall(fixture.pool, std::move(request),
                   [&](proxy::CallResult got) { result = std::move(got); });
  fixture.Await([&] { return result.has_value(); });
  return std::get<proxy::Response>(*result).head.status;
}

// Guards against the failure of 2026-12-04: a caller's stream went on at a
// replica of another software version.
TEST_CASE("a caller's stream goes on only at the version that began it") {
  EdgeFixture fixture;
  FakeReplica other(fixture.loop);
  fixture.store.memory().Write("servers/desk-2",
                               other.Registration("desk", "v2"));
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  for (int i = 0; i < 8; ++i) {
    const std::string id = "begun-" + std::to_string(i);
    const int before = fixture.replica.requests;
    REQUIRE(RequestStream(fixture, one, id) == 200);
    FakeReplica& begun_by =
        fixture.replica.requests > before ? fixture.replica : other;
    const int expected = begun_by.requests + 1;
    REQUIRE(RequestStream(fixture, two, id + "-again", id) == 200);
    REQUIRE(begun_by.requests == expected);
  }
}

TEST_CASE("a stream does not go on at another service") {
  EdgeFixture fixture;
  ReadyInstance one(fixture, fixture.Settings("one"));
  REQUIRE(RequestStream(fixture, one, "begun") == 200);
  nlohmann::json changed = nlohmann::json::parse(MakeConfiguration(9));
  changed["Routes"][2]["Service"] = "llm";
  fixture.store.memory().Write("op/config", changed.dump());
  fixture.Await([&] {
    return fixture.Call(*one.settings.peer, "GET", "/metrics")
               .body.find("briarspread_configuration_version 9") !=
           std::string::npos;
  });
  REQUIRE(RequestStream(fixture, one, "new") == 200);
  REQUIRE(RequestStream(fixture, one, "again", "begun") == 503);
}

TEST_CASE("a stream's version is known after its instance has died") {
  EdgeFixture fixture;
  ReadyInstance two(fixture, fixture.Settings("two"));
  {
    ReadyInstance one(fixture, fixture.Settings("one"));
    REQUIRE(RequestStream(fixture, one, "begun") == 200);
    // Another call to the same peer, after which the record is there.
    fixture.Await([&] {
      return fixture
                 .Call(*two.settings.peer, "GET", "/v1/origins?attempt=begun")
                 .body != "[]";
    });
  }
  REQUIRE(RequestStream(fixture, two, "again", "begun") == 200);
}

// Guards against the failure of 2026-12-04: no stream went on after all
// instances had died, since the versions were kept in memory only.
TEST_CASE("a stream's version is known after all instances have died") {
  EdgeFixture fixture;
  FakeReplica other(fixture.loop);
  fixture.store.memory().Write("servers/desk-2",
                               other.Registration("desk", "v2"));
  {
    ReadyInstance one(fixture, fixture.Settings("one"));
    ReadyInstance two(fixture, fixture.Settings("two"));
    REQUIRE(RequestStream(fixture, one, "begun") == 200);
    // What is written to the store meanwhile is there afterwards.
    for (int i = 0; i < 10; ++i) {
      fixture.Call(*two.settings.peer, "GET", "/v1/ping");
    }
  }
  FakeReplica& begun_by =
      fixture.replica.requests > 0 ? fixture.replica : other;
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  for (int i = 0; i < 4; ++i) {
    const std::string id = "again-" + std::to_string(i);
    REQUIRE(RequestStream(fixture, two, id, "begun") == 200);
  }
  REQUIRE(begun_by.requests == 5);
}

// Guards against a report of other operators: an instance that was out of step
// while replicas of a new version joined took their streams up at the old one.
TEST_CASE("an instance out of step takes no stream of a newer version up") {
  EdgeFixture fixture;
  FakeReplica newer(fixture.loop);
  fixture.store.memory().Write("servers/desk",
                               newer.Registration("desk", "v2"));
  ReadyInstance one(fixture, fixture.Settings("one"));
  REQUIRE(RequestStream(fixture, one, "begun") == 200);
  REQUIRE(newer.requests == 1);
  // The other instance still has the list of before.
  StoreStandIn stale(fixture.loop);
  stale.memory().Write("op/config", MakeConfiguration(4));
  stale.memory().Write("servers/desk",
                       fixture.replica.Registration("desk", "v1"));
  const std::string peer = "fleet/instances/one";
  fixture.Await([&] { return fixture.store.memory().items().contains(peer); });
  PlatformSettings settings = fixture.Settings("two");
  settings.store = stale.endpoint();
  LoopTimer deliver(fixture.loop);
  deliver.Every(milliseconds(1), [&stale] { stale.Deliver(); });
  SECTION("its peers know the version") {
    stale.memory().Write(peer, fixture.store.memory().items().at(peer).value);
  }
  SECTION("it reaches nobody who does") {}
  ReadyInstance two(fixture, settings);
  REQUIRE(RequestStream(fixture, two, "new") == 200);
  const int before = fixture.replica.requests;
  const int newer_before = newer.requests;
  const int status = RequestStream(fixture, two, "again", "begun");
  REQUIRE(fixture.replica.requests == before);
  // It may have learned the new list from its peer meanwhile.
  REQUIRE((status == 503 || newer.requests == newer_before + 1));
}

TEST_CASE("a stream whose version is not known is refused as not run") {
  EdgeFixture fixture;
  ReadyInstance one(fixture, fixture.Settings("one"));
  const int before = fixture.replica.requests;
  REQUIRE(RequestStream(fixture, one, "again", "never-begun") == 503);
  REQUIRE(fixture.replica.requests == before);
}

}  // namespace
}  // namespace briarspread::platform
