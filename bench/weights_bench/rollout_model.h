#ifndef BENCH_WEIGHTS_BENCH_ROLLOUT_MODEL_H_
#define BENCH_WEIGHTS_BENCH_ROLLOUT_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "briarspread/weights/weight_rollout.h"
#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread::bench {

/// Parameters of the simulated fleet.
struct FleetModel {
  std::size_t replicas = 9;
  std::size_t regions = 2;
  std::size_t zones = 3;
  /// Size of one version in bytes.
  std::uint64_t version_bytes = 200'000'000;
  /// Bytes per second that rollouts may transfer from the store and over the
  /// link to each other region.
  std::uint64_t store_rate = 500'000'000;
  std::uint64_t link_rate = 28'000'000;
  /// Bytes per second that one replica sends to all others together.
  std::uint64_t replica_rate = 1'250'000'000;
  /// Duration of a swap after the transfer.
  milliseconds swap_time{1000};
  std::uint32_t fan_out = 4;
  double live_floor = 0.5;
  std::uint64_t seed = 1;
};

/// Measurements of one rollout.
struct RolloutResult {
  /// Seconds until the rollout was complete.
  double seconds = 0;
  /// Seconds until the last pull from the weight store ended.
  double pull_seconds = 0;
  /// Bytes pulled from the weight store.
  std::uint64_t store_bytes = 0;
  /// Bytes transferred over links between regions.
  std::uint64_t link_bytes = 0;
  std::uint64_t orders = 0;
  /// Number of calls of the key-value store.
  std::uint64_t store_calls = 0;
  /// Smallest share of a zone's replicas that served at any time.
  double min_serving_share = 1;
  /// CPU seconds spent on the lease and on the decisions.
  double decision_seconds = 0;
  bool complete = false;
};

/// Simulation of one `WeightRollout` with a manual clock, in which engines are
/// represented by the durations of their loads.
class RolloutModel final : private WeightStoreInfo {
 public:
  explicit RolloutModel(const FleetModel& fleet);
  /// Rolls one version out and returns the measurements.
  RolloutResult Run();

 private:
  RegionId Region() const override { return RegionId("region-0"); }
  std::uint64_t StoreBytesPerSecond() const override {
    return fleet_.store_rate;
  }
  std::uint64_t LinkBytesPerSecond(const RegionId&) const override {
    return fleet_.link_rate;
  }
  std::vector<Replica> MakeReplicas() const;
  milliseconds MaxOrderDuration() const;
  void Drive();
  void ExecuteAction(const RolloutAction& action);
  void ExecuteOrder(const LoadOrder& order);
  void Schedule(Duration delay, std::function<void()> run);

  const FleetModel fleet_;
  testing::ManualClock clock_;
  testing::MemoryStore store_;
  SeededRandom random_;
  std::map<UpstreamId, WeightVersion> loaded_;
  std::map<UpstreamId, RegionId> regions_;
  Lease lease_;
  WeightRollout rollout_;
  std::multimap<TimePoint, std::function<void()>> events_;
  RolloutResult result_;
  TimePoint start_;
};

}  // namespace briarspread::bench

#endif  // BENCH_WEIGHTS_BENCH_ROLLOUT_MODEL_H_
