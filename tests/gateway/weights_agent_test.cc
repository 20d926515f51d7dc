#include "briarspread/gateway/weights_agent.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

/// Far longer than any step takes, so that a slow machine does not fail the
/// test.
constexpr seconds kWaitTimeout{60};
constexpr milliseconds kPollInterval{5};

bool WaitUntil(const std::function<bool()>& done) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + kWaitTimeout;
  while (!done()) {
    if (clock.Now() > end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

/// In-memory engines that load each version immediately.
class MemoryEngines final : public EngineOrders {
 public:
  OrderOutcome SendOrder(const LoadOrder& order, milliseconds) override {
    std::lock_guard lock(mutex_);
    versions_[order.id] = order.version;
    if (!order.source.has_value()) ++pulls_;
    return OrderOutcome::kLoaded;
  }
  Result<WeightVersion> QueryVersion(const ReadVersion& query) override {
    std::lock_guard lock(mutex_);
    return versions_[query.id];
  }
  bool AllHave(std::size_t n, WeightVersion version) {
    std::lock_guard lock(mutex_);
    return versions_.size() == n &&
           std::all_of(versions_.begin(), versions_.end(),
                       [&](const auto& it) { return it.second == version; });
  }
  int pulls() {
    std::lock_guard lock(mutex_);
    return pulls_;
  }

 private:
  std::mutex mutex_;
  std::map<UpstreamId, WeightVersion> versions_;
  int pulls_ = 0;
};

class NoFencingChecks final : public FencingRules {
 public:
  bool ChecksFencing(const std::string&) const override { return false; }
};

/// Ends every exchange with `outcome`.
class ScriptedClient final : public UpstreamClient {
 public:
  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver*) override {
    last = request;
    ++calls;
    return outcome;
  }
  ExchangeOutcome outcome;
  UpstreamRequest last;
  int calls = 0;
};

void PublishEngines(ControlState& state, int n) {
  auto table = std::make_unique<RoutingTable>();
  for (int i = 0; i < n; ++i) {
    UpstreamView upstream;
    upstream.listed.name = "engine-" + std::to_string(i);
    upstream.listed.kind = InstanceKind::kModelEngine;
    upstream.listed.serves = "rollout";
    upstream.listed.locality = {RegionId(i % 2 == 0 ? "lim" : "aqp"),
                                ZoneId(i % 2 == 0 ? "lim-a" : "aqp-a")};
    upstream.counters = std::make_shared<UpstreamCounters>();
    table->upstreams.push_back(std::move(upstream));
  }
  state.routing.Publish(std::move(table));
}

WeightsAgentSettings MakeSettings() {
  WeightsAgentSettings settings;
  settings.contend_interval = milliseconds(20);
  settings.tick = milliseconds(5);
  settings.rollout.checkpoint_interval = milliseconds(20);
  settings.store_region = RegionId("lim");
  return settings;
}

LoadOrder MakeOrder(TimePoint send_before) {
  LoadOrder order;
  order.id = UpstreamId("engine-1");
  order.version = WeightVersion(3);
  order.fencing = FencingNumber(4);
  order.send_before = send_before;
  return order;
}

}  // namespace

TEST_CASE("agents roll a version out, and the next one carries on") {
  const SystemClock clock;
  SeededRandom random(1);
  testing::MemoryStore store;
  MemoryEngines engines;
  const NoFencingChecks fencing;
  ControlState state;
  PublishEngines(state, 6);
  WeightsAgent first(MakeSettings(), InstanceId("a"), Incarnation(1), store,
                     engines, fencing, state, clock, random);
  WeightsAgent second(MakeSettings(), InstanceId("b"), Incarnation(1), store,
                      engines, fencing, state, clock, random);
  const auto request = [&](std::uint64_t version) {
    return RequestRollout(store, ModelName("rollout"), WeightVersion(version),
                          OperationId("op"));
  };
  first.Start();
  REQUIRE(WaitUntil([&] { return first.is_holder(); }));
  second.Start();
  REQUIRE(IsOk(request(2)));
  CHECK(WaitUntil([&] { return engines.AllHave(6, WeightVersion(2)); }));
  CHECK(engines.pulls() == 2);
  CHECK_FALSE(second.is_holder());
  first.Stop();
  REQUIRE(IsOk(request(3)));
  CHECK(WaitUntil([&] { return engines.AllHave(6, WeightVersion(3)); }));
  CHECK(second.is_holder());
  CHECK(second.out_of_rotation().Read()->empty());
  second.Stop();
}

TEST_CASE("an order is not sent after its send deadline") {
  const SystemClock clock;
  ScriptedClient client;
  HttpEngineOrders orders(InstanceId("a"), client, clock);
  CHECK(orders.SendOrder(MakeOrder(clock.Now()), seconds(1)) ==
        OrderOutcome::kNotSent);
  CHECK(client.calls == 0);
}

TEST_CASE("the outcome of an order shows whether the engine may still load") {
  const SystemClock clock;
  ScriptedClient client;
  HttpEngineOrders orders(InstanceId("a"), client, clock);
  const auto outcome = [&](ExchangeStage stage, int status,
                           const std::string& body) {
    client.outcome.stage = stage;
    client.outcome.status = status;
    client.outcome.body = body;
    return orders.SendOrder(MakeOrder(clock.Now() + seconds(100)), seconds(1));
  };
  CHECK(outcome(ExchangeStage::kConnecting, 0, "") == OrderOutcome::kFailed);
  CHECK(outcome(ExchangeStage::kSending, 0, "") == OrderOutcome::kUnknown);
  CHECK(outcome(ExchangeStage::kSent, 0, "") == OrderOutcome::kUnknown);
  CHECK(outcome(ExchangeStage::kEnded, 409, "{}") == OrderOutcome::kFailed);
  CHECK(outcome(ExchangeStage::kEnded, 200, R"({"version":2})") ==
        OrderOutcome::kFailed);
  CHECK(outcome(ExchangeStage::kEnded, 200, R"({"version":3})") ==
        OrderOutcome::kLoaded);
  CHECK_FALSE(client.last.may_reuse_connection);
  CHECK(client.last.body.find(R"("fencing":4)") != std::string::npos);
}

}  // namespace briarspread
