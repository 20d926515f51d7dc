#ifndef TESTS_WEIGHTS_WEIGHT_ROLLOUT_SIMULATION_H_
#define TESTS_WEIGHTS_WEIGHT_ROLLOUT_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/weights/weight_rollout.h"
#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread::testing {

/// A weight store in region `r0` with fixed rates.
class FixedWeightStoreInfo final : public WeightStoreInfo {
 public:
  RegionId Region() const override { return RegionId("r0"); }
  std::uint64_t StoreBytesPerSecond() const override { return 900; }
  std::uint64_t LinkBytesPerSecond(const RegionId&) const override {
    return 200;
  }
};

/// Parameters of a `WeightRolloutSimulation`.
struct SimulationOptions {
  std::uint64_t seed = 1;
  std::size_t drivers = 2;
  std::size_t regions = 2;
  std::size_t replicas_per_region = 6;
  bool engines_check_fencing = false;
  /// Maximum order duration in the settings of the rollouts. Simulated orders
  /// take up to 10 s in any case.
  milliseconds max_order_duration{10000};
  /// Number of swaps that fail at each replica before the first success.
  std::uint32_t failed_swaps = 0;
};

/// Simulation of rollout drivers, engines and a store with a manual clock.
/// Orders take random times. Drivers can be paused and killed at any event.
class WeightRolloutSimulation {
 public:
  explicit WeightRolloutSimulation(const SimulationOptions& options);

  /// Runs for `span` in steps of 100 ms.
  void Run(Duration span);
  /// Runs until the holder reports the rollout as complete and every engine has
  /// `version`. Returns whether that happened within `limit`.
  bool RunUntilLoaded(WeightVersion version, Duration limit);
  /// Pauses the driver's process for `span`.
  void Pause(std::size_t driver, Duration span);
  void Kill(std::size_t driver);
  /// Returns the index of the holder, or the number of drivers if there is
  /// none.
  std::size_t Holder() const;
  void Request(std::uint64_t version);
  const WeightRollout& rollout(std::size_t driver) const {
    return *drivers_[driver].rollout;
  }

  /// Called before each action of a driver is executed.
  std::function<void(std::size_t driver, const RolloutAction&)> on_action;
  /// Called when a driver sends an order.
  std::function<void(std::size_t driver)> on_order_sent;
  MemoryStore store;
  ManualClock clock;

  /// Number of times that an engine without fencing checks started or finished
  /// an order while a later holder held the lease.
  int overlapping_orders = 0;
  /// Number of pulls that exceeded the rate limit of a link or of the store.
  int exceeded_limits = 0;
  /// Number of times that fewer than half of a zone's replicas served, counted
  /// at each step.
  int floor_violations = 0;
  /// Bytes pulled from the store, by region.
  std::map<RegionId, std::uint64_t> pulled_bytes;
  int accepted_orders = 0;

 private:
  struct Engine {
    Replica replica;
    std::uint64_t version = 1;
    FencingNumber fencing;
    std::uint32_t failures_left = 0;
    int loading = 0;
  };
  struct Driver {
    std::unique_ptr<Lease> lease;
    std::unique_ptr<WeightRollout> rollout;
    TimePoint paused_until;
    bool is_killed = false;
    /// Results and sends to process when the driver runs next.
    std::vector<std::function<void()>> inbox;
  };
  bool IsRunning(const Driver& driver) const;
  void Step();
  void Drive(std::size_t index);
  void ExecuteAction(std::size_t index, const RolloutAction& action);
  void SendOrder(std::size_t index, const LoadOrder& order);
  void ReceiveOrder(std::size_t index, const LoadOrder& order);
  void FinishOrder(std::size_t index, const LoadOrder& order);
  void Schedule(Duration delay, std::function<void()> run);
  void PostToDriver(std::size_t index, Duration delay,
                    std::function<void(Driver&)> run);
  void CheckOverlap(const Engine& engine, const LoadOrder& order);
  void CheckFloor();
  Duration RandomDuration(milliseconds below);

  const SimulationOptions options_;
  SeededRandom random_;
  FixedWeightStoreInfo store_info_;
  std::map<UpstreamId, Engine> engines_;
  std::vector<Driver> drivers_;
  std::multimap<TimePoint, std::function<void()>> events_;
  /// Current bytes per second of pulls from the store, by region.
  std::map<RegionId, std::uint64_t> pull_rates_;
};

}  // namespace briarspread::testing

#endif  // TESTS_WEIGHTS_WEIGHT_ROLLOUT_SIMULATION_H_
