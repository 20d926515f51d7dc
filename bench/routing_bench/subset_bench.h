#ifndef BENCH_ROUTING_BENCH_SUBSET_BENCH_H_
#define BENCH_ROUTING_BENCH_SUBSET_BENCH_H_

namespace briarspread::bench {

/// How a subset plan covers a fleet.
struct SubsetResult {
  /// Instances that use an upstream: least and most.
  int least_instances = 0;
  int most_instances = 0;
  /// Upstreams that an instance uses.
  int least_upstreams = 0;
  double mean_upstreams = 0;
  int most_upstreams = 0;
  /// Load of the busiest upstream over the mean, where every instance spreads
  /// the same traffic evenly over those it uses in its own zone.
  double zone_imbalance = 0;
  /// After one zone's instances are gone and before a new plan: instances left
  /// to use an upstream, least.
  int least_after_zone_loss = 0;
  /// After one zone is gone, instances and upstreams: pairs of the new plan
  /// that are new, as a fraction of all.
  double moved_by_zone_loss = 0;
  /// The same after one instance is gone.
  double moved_by_instance_loss = 0;
  /// Time for one instance to work out its own part, in milliseconds.
  double plan_ms = 0;
};

/// Plans `instances` x `replicas` over 20 zones and 9 regions, or fewer where
/// there are fewer instances.
SubsetResult RunSubsetBench(int instances, int replicas);

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_SUBSET_BENCH_H_
