#ifndef BENCH_ROUTING_BENCH_FLEET_H_
#define BENCH_ROUTING_BENCH_FLEET_H_

#include <cstdint>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/routing/routing_table.h"
#include "briarspread/routing/subset_plan.h"

namespace briarspread::bench {

/// Size of a simulated fleet.
struct FleetSize {
  /// Number of the system's own instances.
  int instances = 7;
  /// Number of model replicas.
  int replicas = 9;
  /// Number of availability zones, which are distributed evenly over the
  /// regions.
  int zones = 3;
  /// Number of regions.
  int regions = 2;
  /// Number of models; each is served by an equal share of the replicas.
  int models = 1;
};

/// Returns the name of model number `i`.
std::string ModelName(int i);

/// Returns the locality of instance or replica number `i`.
Locality LocalityOf(int i, const FleetSize& size);

/// Returns all replicas, as instance list entries.
std::vector<ListedInstance> MakeReplicas(const FleetSize& size);

/// Returns all of the system's own instances.
std::vector<PlannedInstance> MakeInstances(const FleetSize& size);

/// A clock that a simulation sets. Not thread-safe.
class ModelClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return WallTime{}; }
  /// Sets the time. Precondition: `now` is not before the current time.
  void Set(TimePoint now) { now_ = now; }

 private:
  /// Simulated time. Starts at one hour, so that token buckets start full.
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_FLEET_H_
