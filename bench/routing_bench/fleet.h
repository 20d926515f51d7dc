#ifndef BENCH_ROUTING_BENCH_FLEET_H_
#define BENCH_ROUTING_BENCH_FLEET_H_

#include <cstdint>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/routing/routing_table.h"
#include "briarspread/routing/subset_plan.h"

namespace briarspread::bench {

/// The size of a modelled fleet.
struct FleetSize {
  /// The system's own instances.
  int instances = 7;
  /// Model replicas.
  int replicas = 9;
  /// Availability zones; two or three to a region.
  int zones = 3;
  /// Regions.
  int regions = 2;
  /// Models, each on an equal part of the replicas.
  int models = 1;
};

/// The model that replicas number i of `size.models` serve.
std::string ModelName(int i);

/// The zone that number `i` of anything stands in.
Locality LocalityOf(int i, const FleetSize& size);

/// All replicas, as listed.
std::vector<ListedInstance> MakeReplicas(const FleetSize& size);

/// All instances of the system.
std::vector<PlannedInstance> MakeInstances(const FleetSize& size);

/// A clock that a model advances. Not thread-safe.
class ModelClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return WallTime{}; }
  /// Precondition: not earlier than before.
  void Set(TimePoint now) { now_ = now; }

 private:
  /// The model's time; an hour in, so that bursts begin full.
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_FLEET_H_
