#include "briarspread/weights/weight_rollout.h"

#include <catch2/catch.hpp>

#include "tests/weights/weight_rollout_simulation.h"

namespace briarspread {
namespace {

using testing::SimulationOptions;
using testing::WeightRolloutSimulation;

constexpr std::chrono::minutes kLimit{20};

void CheckInvariants(const WeightRolloutSimulation& simulation) {
  CHECK(simulation.overlapping_orders == 0);
  CHECK(simulation.exceeded_limits == 0);
  CHECK(simulation.floor_violations == 0);
}

/// Counts of violated invariants.
struct Violations {
  int overlapping_orders = 0;
  int exceeded_limits = 0;
};

/// Runs rollouts in which the holder is paused repeatedly: between the decision
/// on an order and its sending, and until after its lease expired once an order
/// was sent.
void RunWithPausedHolders(std::uint64_t seed, bool engines_check_fencing,
                          milliseconds max_order_duration,
                          Violations& violations) {
  SimulationOptions options;
  options.seed = seed;
  options.engines_check_fencing = engines_check_fencing;
  options.max_order_duration = max_order_duration;
  WeightRolloutSimulation simulation(options);
  SeededRandom random(seed);
  simulation.on_action = [&](std::size_t driver, const RolloutAction& action) {
    if (!std::holds_alternative<LoadOrder>(action)) return;
    if (random.Below(3) == 0) {
      simulation.Pause(driver, seconds(15 + random.Below(30)));
    }
  };
  simulation.on_order_sent = [&](std::size_t driver) {
    if (random.Below(3) == 0) simulation.Pause(driver, seconds(45));
  };
  for (std::uint64_t version = 2; version < 6; ++version) {
    simulation.Request(version);
    simulation.Run(seconds(200));
  }
  CHECK(simulation.accepted_orders > 0);
  violations.overlapping_orders += simulation.overlapping_orders;
  violations.exceeded_limits += simulation.exceeded_limits;
}

}  // namespace

TEST_CASE("all replicas load the version, pulled once per region") {
  WeightRolloutSimulation simulation(SimulationOptions{});
  simulation.Request(2);
  CHECK(simulation.RunUntilLoaded(WeightVersion(2), kLimit));
  CheckInvariants(simulation);
  CHECK(simulation.pulled_bytes[RegionId("r0")] == 1000);
  CHECK(simulation.pulled_bytes[RegionId("r1")] == 1000);
}

TEST_CASE("orders of two holders never overlap at engines without fencing") {
  Violations without_wait;
  Violations with_wait;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    RunWithPausedHolders(seed, false, milliseconds(0), without_wait);
    RunWithPausedHolders(seed, false, seconds(10), with_wait);
  }
  CHECK(without_wait.overlapping_orders > 0);
  CHECK(with_wait.overlapping_orders == 0);
  CHECK(with_wait.exceeded_limits == 0);
}

TEST_CASE("pulls of two holders together never exceed the rate limits") {
  Violations without_wait;
  Violations with_wait;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RunWithPausedHolders(seed, true, milliseconds(0), without_wait);
    RunWithPausedHolders(seed, true, seconds(10), with_wait);
  }
  CHECK(without_wait.exceeded_limits > 0);
  CHECK(with_wait.exceeded_limits == 0);
}

TEST_CASE("a rollout completes after its holder crashed at any action") {
  const bool checks = GENERATE(false, true);
  for (int step = 0; step < 60; ++step) {
    SimulationOptions options;
    options.seed = static_cast<std::uint64_t>(step) + 1;
    options.engines_check_fencing = checks;
    WeightRolloutSimulation simulation(options);
    int actions = 0;
    bool killed = false;
    simulation.on_action = [&](std::size_t driver, const RolloutAction&) {
      if (killed || actions++ < step) return;
      killed = true;
      simulation.Kill(driver);
    };
    simulation.Request(2);
    INFO("killed before action " << step << ", engines check " << checks);
    REQUIRE(simulation.RunUntilLoaded(WeightVersion(2), kLimit));
    CheckInvariants(simulation);
    // The outcome of the killed holder's pull may be unknown to the next
    // holder, so one more pull per region is allowed.
    CHECK(simulation.pulled_bytes[RegionId("r1")] <= 2000);
  }
}

TEST_CASE("failed swaps put a replica out of rotation until a retry succeeds") {
  SimulationOptions options;
  options.failed_swaps = 2;
  options.drivers = 1;
  WeightRolloutSimulation simulation(options);
  simulation.Request(2);
  simulation.Run(seconds(3));
  CHECK_FALSE(simulation.rollout(0).OutOfRotation().empty());
  CHECK(simulation.RunUntilLoaded(WeightVersion(2), kLimit));
  CheckInvariants(simulation);
  CHECK(simulation.rollout(0).OutOfRotation().empty());
  CHECK(simulation.rollout(0).counts().failed_swaps == 24);
}

TEST_CASE("a rollout continues after an outage of the store") {
  WeightRolloutSimulation simulation(SimulationOptions{});
  simulation.Request(2);
  simulation.Run(seconds(3));
  simulation.store.SetOutage(true);
  simulation.Run(std::chrono::minutes(10));
  simulation.store.SetOutage(false);
  CHECK(simulation.RunUntilLoaded(WeightVersion(2), kLimit));
  CheckInvariants(simulation);
}

TEST_CASE("lost responses of the store neither prevent nor repeat a pull") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    WeightRolloutSimulation simulation(options);
    simulation.Request(2);
    simulation.on_action = [&](std::size_t, const RolloutAction& action) {
      if (std::holds_alternative<SaveRecord>(action)) {
        simulation.store.LoseWriteAnswers(1);
      }
    };
    REQUIRE(simulation.RunUntilLoaded(WeightVersion(2), kLimit));
    CheckInvariants(simulation);
    CHECK(simulation.pulled_bytes[RegionId("r1")] == 1000);
  }
}

TEST_CASE("rollouts complete after random crashes, pauses and outages") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.drivers = 5;
    options.engines_check_fencing = seed % 2 == 0;
    options.failed_swaps = static_cast<std::uint32_t>(seed % 3);
    WeightRolloutSimulation simulation(options);
    SeededRandom random(seed);
    std::size_t killed = 0;
    std::uint64_t version = 2;
    simulation.on_action = [&](std::size_t driver, const RolloutAction&) {
      const std::uint64_t fault = random.Below(100);
      if (fault == 0 && killed < 3) {
        ++killed;
        simulation.Kill(driver);
      }
      if (fault == 1) simulation.Pause(driver, seconds(random.Below(60)));
      if (fault == 2) simulation.store.LoseWriteAnswers(1);
    };
    for (int i = 0; i < 6; ++i) {
      simulation.Request(version);
      simulation.Run(seconds(random.Below(60)));
      if (random.Below(3) == 0) {
        simulation.store.SetOutage(true);
        simulation.Run(seconds(random.Below(90)));
        simulation.store.SetOutage(false);
      }
      ++version;
    }
    simulation.on_action = nullptr;
    simulation.Request(version);
    INFO("seed " << seed);
    REQUIRE(simulation.RunUntilLoaded(WeightVersion(version), kLimit));
    CheckInvariants(simulation);
  }
}

TEST_CASE("a request for an older version is refused, a repeated one is not") {
  testing::MemoryStore store;
  const ModelName model("desk");
  const auto request = [&](std::uint64_t version) {
    return RequestRollout(store, model, WeightVersion(version),
                          OperationId("op"));
  };
  CHECK(IsOk(request(3)));
  CHECK(IsOk(request(3)));
  CHECK(ErrorOf(request(2)).code == ErrorCode::kStale);
  store.LoseWriteAnswers(1);
  CHECK(IsOk(request(4)));
  store.SetOutage(true);
  CHECK(ErrorOf(request(5)).code == ErrorCode::kUnavailable);
}

TEST_CASE("a record is decoded as it was encoded, other text is refused") {
  RolloutRecord record;
  record.model = ModelName("desk");
  record.version = WeightVersion(7);
  record.pulls = {{RegionId("r1"), UpstreamId("e1")}};
  record.replicas = {{UpstreamId("e2"), ReplicaProgress::kFailed, 3}};
  const auto read = DecodeRollout(EncodeRollout(record));
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read) == record);
  CHECK_FALSE(IsOk(DecodeRollout("")));
  CHECK_FALSE(IsOk(DecodeRollout("{}")));
  CHECK_FALSE(IsOk(DecodeRollout(
      R"({"model":"m","version":1,"wave":0,"fencing":0,"operation":"",)"
      R"("pulls":[],"replicas":[["a",9,0]]})")));
}

}  // namespace briarspread
