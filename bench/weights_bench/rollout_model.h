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

/// A fleet and its rates.
struct FleetModel {
  std::size_t replicas = 9;
  std::size_t regions = 2;
  std::size_t zones = 3;
  /// Size of one version.
  std::uint64_t version_bytes = 200'000'000;
  /// Bytes a second that rollouts may take.
  std::uint64_t store_rate = 500'000'000;
  std::uint64_t link_rate = 28'000'000;
  /// Bytes a second that one replica sends to others, all together.
  std::uint64_t replica_rate = 1'250'000'000;
  /// Time to swap once the bytes are there.
  milliseconds swap_time{1000};
  std::uint32_t fan_out = 4;
  double live_floor = 0.5;
  std::uint64_t seed = 1;
};

/// What one rollout took.
struct RolloutFigures {
  double seconds = 0;
  /// Until the last region had pulled.
  double pull_seconds = 0;
  std::uint64_t store_bytes = 0;
  /// Bytes over links between regions.
  std::uint64_t link_bytes = 0;
  std::uint64_t orders = 0;
  /// Calls to the key-value service.
  std::uint64_t store_calls = 0;
  /// The least part of any zone that served.
  double least_serving = 1;
  /// Processor time of the decisions.
  double decision_seconds = 0;
  bool complete = false;
};

/// Drives one `WeightRollout` against engines that are only times, under an
/// injected clock.
class RolloutModel final : private WeightSource {
 public:
  explicit RolloutModel(const FleetModel& fleet);
  /// Rolls one version out.
  RolloutFigures Run();

 private:
  RegionId Region() const override { return RegionId("region-0"); }
  std::uint64_t StoreBytesPerSecond() const override {
    return fleet_.store_rate;
  }
  std::uint64_t LinkBytesPerSecond(const RegionId&) const override {
    return fleet_.link_rate;
  }
  std::vector<Replica> MakeReplicas() const;
  milliseconds LongestOrder() const;
  void Drive();
  void Carry(const RolloutAction& action);
  void TakeOrder(const LoadOrder& order);
  void Later(Duration delay, std::function<void()> run);

  const FleetModel fleet_;
  testing::ManualClock clock_;
  testing::MemoryStore store_;
  SeededRandom random_;
  std::map<UpstreamId, WeightVersion> loaded_;
  std::map<UpstreamId, RegionId> regions_;
  Lease lease_;
  WeightRollout rollout_;
  std::multimap<TimePoint, std::function<void()>> events_;
  RolloutFigures figures_;
  TimePoint start_;
};

}  // namespace briarspread::bench

#endif  // BENCH_WEIGHTS_BENCH_ROLLOUT_MODEL_H_
