#include "briarspread/versions/version_driver.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/support/async_memory_store.h"
#include "tests/support/loop_runner.h"
#include "tests/support/manual_clock.h"

namespace briarspread::versions {
namespace {

using briarspread::testing::AsyncMemoryStore;
using briarspread::testing::ManualClock;

const ModelName kModel("m");

/// An engine control that records orders and answers with preset results.
class FakeControl final : public EngineControl {
 public:
  bool TryAdmit(const UpstreamId&) override { return admits; }
  void Send(const SentOrder& order,
            std::function<void(OrderOutcome)> done) override {
    sent.push_back(order);
    done(outcome);
  }
  void ReadReport(const UpstreamId&,
                  std::function<void(Result<EngineReport>)> done) override {
    ++reports;
    done(report);
  }

  bool admits = true;
  std::vector<SentOrder> sent;
  OrderOutcome outcome = OrderOutcome::kAccepted;
  Result<EngineReport> report = EngineReport{{}, false, 7};
  int reports = 0;
};

struct NullListener final : InstanceRegistry::Listener {
  void OnInstancesChanged() override {}
  void OnStoreReachable(bool) override {}
};

forward::DiscoveredUpstream Engine() {
  forward::DiscoveredUpstream engine;
  engine.id = UpstreamId("e");
  engine.service = ServiceName("s");
  engine.endpoint = Endpoint{"127.0.0.1", 1};
  engine.models = {{kModel, WeightVersion(1)}};
  return engine;
}

/// A driver whose instance holds the order lease.
struct World {
  World()
      : registry(loop, store, store, nullptr, InstanceRegistrySettings{},
                 Self(), listener),
        order_lease(store, registry, OrderLeaseSettings{}, clock),
        directory(forward::UpstreamDirectorySettings{}, Locality{}, clock),
        driver(loop, clock, order_lease, directory, configuration, control,
               Settings()) {
    auto made = std::make_shared<forward::Configuration>();
    made->version = forward::ConfigurationVersion(1);
    made->services.push_back({ServiceName("s"), {kModel}, 0});
    configuration.UpdateIfNewer(made);
    directory.Put(Engine());
    registry.Start();
    Await(
        [&] { return registry.has_listed() && registry.lease().value() != 0; });
    driver.Start();
    Await([&] { return order_lease.is_holder(); });
    Advance(seconds(6));
  }

  static InstanceRecord Self() {
    InstanceRecord self;
    self.name = InstanceId("i");
    self.incarnation = Incarnation(1);
    return self;
  }
  static VersionDriverSettings Settings() {
    VersionDriverSettings settings;
    settings.tick = milliseconds(1);
    return settings;
  }

  template <typename IsDone>
  void Await(const IsDone& is_done) {
    REQUIRE(briarspread::testing::RunUntil(loop, [&] {
      store.Deliver();
      return is_done();
    }));
  }
  /// Advances the clock and runs the loop for a few of the driver's ticks.
  void Advance(Duration step) {
    clock.Advance(step);
    for (int i = 0; i < 20; ++i) {
      store.Deliver();
      loop.restart();
      loop.run_one_for(milliseconds(5));
    }
  }

  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  NullListener listener;
  InstanceRegistry registry;
  OrderLease order_lease;
  forward::UpstreamDirectory directory;
  forward::ConfigurationHolder configuration;
  FakeControl control;
  VersionDriver driver;
};

TEST_CASE("an order carries the fencing number and the accepted-order count") {
  World world;
  world.driver.SetTarget(kModel, WeightVersion(2));
  world.Await([&] { return !world.control.sent.empty(); });
  const SentOrder& sent = world.control.sent[0];
  REQUIRE(sent.order.version == WeightVersion(2));
  REQUIRE(sent.fencing == world.order_lease.fencing());
  REQUIRE(sent.expected_orders == 7);
  REQUIRE(sent.mode == LoadMode::kKeepRunning);
}

TEST_CASE("an engine whose limit leaves no room gets neither call nor order") {
  World world;
  world.control.admits = false;
  world.driver.SetTarget(kModel, WeightVersion(2));
  world.Advance(seconds(1));
  REQUIRE(world.control.reports == 0);
  REQUIRE(world.control.sent.empty());
  world.control.admits = true;
  world.Await([&] { return !world.control.sent.empty(); });
}

TEST_CASE("an order is not repeated while its effect is awaited") {
  World world;
  world.driver.SetTarget(kModel, WeightVersion(2));
  world.Await([&] { return !world.control.sent.empty(); });
  world.Advance(milliseconds(100));
  REQUIRE(world.control.sent.size() == 1);
  world.control.report = EngineReport{{{kModel, WeightVersion(2)}}, false, 8};
  world.Advance(seconds(1));
  REQUIRE(world.directory.Find(UpstreamId("e"))->VersionOf(kModel) ==
          WeightVersion(2));
  world.Advance(seconds(20));
  REQUIRE(world.control.sent.size() == 1);
}

TEST_CASE("an order without effect is sent again with a new order count") {
  World world;
  world.control.outcome = OrderOutcome::kUnknown;
  world.driver.SetTarget(kModel, WeightVersion(2));
  world.Await([&] { return world.control.sent.size() == 1; });
  world.control.report = EngineReport{{}, false, 9};
  world.Advance(seconds(7));
  world.Advance(milliseconds(200));
  world.Await([&] { return world.control.sent.size() == 2; });
  REQUIRE(world.control.sent[1].expected_orders == 9);
}

TEST_CASE("no order is sent while the order lease cannot be confirmed") {
  World world;
  world.store.SetFault(AsyncMemoryStore::Fault::kRefuse);
  world.Advance(seconds(3));
  world.driver.SetTarget(kModel, WeightVersion(2));
  world.Advance(seconds(3));
  REQUIRE(world.control.sent.empty());
}

}  // namespace
}  // namespace briarspread::versions
