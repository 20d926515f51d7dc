#include <catch2/catch.hpp>

#include "platform/edge_node.h"
#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

/// Edge instances and a replica that each request ends.
struct CrashFixture : EdgeFixture {
  CrashFixture() { replica.aborts_responses = true; }

  void Wait(Duration time) {
    const TimePoint until = clock.Now() + time;
    Await([&] { return clock.Now() >= until; });
  }
  /// Waits until each of the instances knows the others.
  void AwaitMet(const std::vector<const ReadyInstance*>& instances) {
    AwaitMetric(instances, "briarspread_instances", instances.size());
  }
  void AwaitMetric(const std::vector<const ReadyInstance*>& instances,
                   const std::string& name, std::size_t value) {
    const std::string line = name + " " + std::to_string(value) + "\n";
    for (const ReadyInstance* it : instances) {
      Await([&] {
        return it->node.FormatMetrics().find(line) != std::string::npos;
      });
    }
  }
  int StatusAt(const ReadyInstance& instance,
               const std::string& target = "/once/x") {
    return Call(*instance.settings.frontend, "POST", target).head.status;
  }
  /// Sends a request that ends the replica three times, until all instances
  /// know it.
  void CrashThreeTimes(const std::vector<const ReadyInstance*>& instances) {
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(StatusAt(*instances[i % instances.size()]) == 502);
      // The replica restarts with the same address and id.
      Json entry = Json::parse(replica.Registration("desk"));
      entry["born"] = 2 + i;
      store.memory().Write("servers/desk", entry.dump());
      AwaitMetric(instances, "briarspread_upstream_deaths_known", i + 1);
      // Crashes at two instances at nearly the same time count once.
      Wait(2 * SuspectSettings{}.transfer_margin);
    }
    REQUIRE(replica.requests == 3);
  }
};

TEST_CASE("a request that crashes replicas is rejected by all instances") {
  CrashFixture fixture;
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  fixture.AwaitMet({&one, &two});
  fixture.CrashThreeTimes({&one, &two});
  REQUIRE(fixture.StatusAt(one) == 503);
  REQUIRE(fixture.StatusAt(two) == 503);
  REQUIRE(fixture.replica.requests == 3);
  // Other requests are still served.
  fixture.replica.aborts_responses = false;
  REQUIRE(fixture.StatusAt(one, "/once/y") == 200);
}

// Guards against review/15: instances that were restarted in turn had forgotten
// what crashes replicas, and tried it again.
TEST_CASE("an instance rejects what was found to crash before its start") {
  CrashFixture fixture;
  ReadyInstance one(fixture, fixture.Settings("one"));
  fixture.CrashThreeTimes({&one});
  // The store has nothing to tell, so that a peer must.
  fixture.Wait(milliseconds(300));
  fixture.store.memory().Erase("suspects/convictions");
  ReadyInstance two(fixture, fixture.Settings("two"));
  REQUIRE(fixture.StatusAt(two) == 503);
  REQUIRE(fixture.replica.requests == 3);
}

// Guards against review/15 where nobody is left to tell: all instances were
// killed at once.
TEST_CASE("instances that start at once reject what was found to crash") {
  CrashFixture fixture;
  {
    ReadyInstance one(fixture, fixture.Settings("one"));
    fixture.CrashThreeTimes({&one});
    fixture.Wait(milliseconds(300));
    fixture.store.memory().Disconnect();
  }
  ReadyInstance two(fixture, fixture.Settings("two"));
  REQUIRE(fixture.StatusAt(two) == 503);
  REQUIRE(fixture.replica.requests == 3);
}

}  // namespace
}  // namespace briarspread::platform
