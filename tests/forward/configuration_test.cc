#include "briarspread/forward/configuration.h"

#include <catch2/catch.hpp>

#include "briarspread/forward/attempt_policy.h"
#include "briarspread/forward/upstream_directory.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.host = host;
  route.prefix = prefix;
  route.backends = {{ServiceName("s"), 1}};
  return route;
}

TEST_CASE("the route of the host with the longest matching prefix is chosen") {
  Configuration configuration;
  configuration.routes = {MakeRoute("h", "/a/"), MakeRoute("h", "/a/b/"),
                          MakeRoute("other", "/a/b/c/")};
  REQUIRE(configuration.FindRoute("h", "/a/b/c/d")->prefix == "/a/b/");
  REQUIRE(configuration.FindRoute("h:80", "/a/x")->prefix == "/a/");
  REQUIRE(configuration.FindRoute("h", "/b/") == nullptr);
  REQUIRE(configuration.FindRoute("h", "/a") == nullptr);
}

TEST_CASE("requests of a route are split by the weights of its backends") {
  Route route = MakeRoute("h", "/");
  route.backends = {{ServiceName("x"), 90}, {ServiceName("y"), 10}};
  int y = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    y += ChooseBackend(route, i) == ServiceName("y");
  }
  REQUIRE(y == 100);
}

TEST_CASE("a configuration is never replaced by an older one") {
  ConfigurationHolder holder;
  const auto make = [](std::uint64_t version) {
    auto made = std::make_shared<Configuration>();
    made->version = ConfigurationVersion(version);
    return made;
  };
  REQUIRE(holder.UpdateIfNewer(make(5)));
  REQUIRE_FALSE(holder.UpdateIfNewer(make(4)));
  REQUIRE_FALSE(holder.UpdateIfNewer(make(5)));
  REQUIRE(holder.current()->version == ConfigurationVersion(5));
  REQUIRE(holder.UpdateIfNewer(make(9)));
}

TEST_CASE(
    "retries end at the limit, or once a non-idempotent request may have run") {
  AttemptPolicy idempotent({}, true, 2);
  REQUIRE(idempotent.CanRetry(seconds(1)));
  idempotent.RecordVerdict(Verdict::kMayHaveRun);
  REQUIRE(idempotent.CanRetry(seconds(1)));
  REQUIRE_FALSE(idempotent.CanRetry(milliseconds(5)));
  idempotent.RecordVerdict(Verdict::kMayHaveRun);
  REQUIRE_FALSE(idempotent.CanRetry(seconds(1)));

  AttemptPolicy once({}, false, 3);
  once.RecordVerdict(Verdict::kNotRun);
  REQUIRE(once.CanRetry(seconds(1)));
  once.RecordVerdict(Verdict::kMayHaveRun);
  REQUIRE_FALSE(once.CanRetry(seconds(1)));
}

// Guards against endless retries while every upstream is full and refuses at
// once.
TEST_CASE("a request is retried after a bounded number of refusals only") {
  AttemptPolicy policy({}, true, 2);
  int tries = 0;
  while (policy.CanRetry(seconds(1))) {
    policy.RecordVerdict(Verdict::kNotRun);
    ++tries;
  }
  REQUIRE(tries == 4);
  REQUIRE(policy.verdict() == Verdict::kNotRun);
}

DiscoveredUpstream MakeUpstream(const std::string& id) {
  DiscoveredUpstream upstream;
  upstream.id = UpstreamId(id);
  upstream.service = ServiceName("s");
  upstream.endpoint = Endpoint{"127.0.0.1", 1};
  return upstream;
}

struct DirectoryFixture {
  DirectoryFixture() : directory({}, Locality{}, clock) {
    for (const char* id : {"a", "b", "c", "d"}) directory.Put(MakeUpstream(id));
  }
  std::size_t size() const { return directory.all().size(); }
  ManualClock clock;
  UpstreamDirectory directory;
};

TEST_CASE(
    "an upstream whose registration alone disappears is removed at once") {
  DirectoryFixture d;
  Endpoint gone;
  d.directory.SetOnRemoved(
      [&](const DiscoveredUpstream& listed) { gone = listed.endpoint; });
  d.directory.Remove({UpstreamId("a")});
  REQUIRE(d.size() == 3);
  REQUIRE(gone.port == 1);
}

TEST_CASE("registrations that expire together are kept for a grace period") {
  DirectoryFixture d;
  d.directory.Remove({UpstreamId("a"), UpstreamId("b"), UpstreamId("c")});
  REQUIRE(d.size() == 4);
  d.directory.Put(MakeUpstream("a"));
  d.clock.Advance(seconds(2));
  d.directory.DropExpired();
  REQUIRE(d.size() == 2);
  REQUIRE(d.directory.Find(UpstreamId("a")) != nullptr);
}

TEST_CASE(
    "a list without an upstream removes it and keeps the others' counters") {
  DirectoryFixture d;
  d.directory.Find(UpstreamId("a"))->counters->in_flight = 3;
  d.directory.ReplaceAll(
      {MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")});
  REQUIRE(d.size() == 3);
  REQUIRE(d.directory.Find(UpstreamId("a"))->counters->in_flight == 3);
}

TEST_CASE("a new start of an upstream gets new counters") {
  DirectoryFixture d;
  d.directory.Find(UpstreamId("a"))->counters->in_flight = 3;
  DiscoveredUpstream again = MakeUpstream("a");
  again.start_id = 9;
  d.directory.Put(again);
  REQUIRE(d.directory.Find(UpstreamId("a"))->counters->in_flight == 0);
}

TEST_CASE(
    "an older registration does not revert a version seen in a response") {
  DirectoryFixture d;
  const ModelName model("m");
  DiscoveredUpstream engine = MakeUpstream("a");
  engine.models = {{model, WeightVersion(1)}};
  d.directory.Put(engine);
  d.directory.UpdateVersion(UpstreamId("a"), model, WeightVersion(3));
  engine.models = {{model, WeightVersion(2)}};
  d.directory.Put(engine);
  REQUIRE(d.directory.Find(UpstreamId("a"))->VersionOf(model) ==
          WeightVersion(3));
}

TEST_CASE("a malformed load report is ignored") {
  DirectoryFixture d;
  d.directory.UpdateLoad(UpstreamId("a"), "3,1,8");
  for (const char* text :
       {"", "3,1", "9,9,9,x", "9,9,9,9,9", "x,1,8", "3,-1,8"}) {
    d.directory.UpdateLoad(UpstreamId("a"), text);
  }
  const LoadReport& load = d.directory.Find(UpstreamId("a"))->load;
  REQUIRE(load.running == 3);
  REQUIRE(load.queued == 1);
  REQUIRE(load.slots == 8);
}

}  // namespace
}  // namespace briarspread::forward
