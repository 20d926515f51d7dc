#ifndef BENCH_ROUTING_BENCH_SUBSET_BENCH_H_
#define BENCH_ROUTING_BENCH_SUBSET_BENCH_H_

namespace briarspread::bench {

/// Measurements of a subset plan.
struct SubsetResult {
  /// Minimum and maximum number of instances that use an upstream.
  int least_instances = 0;
  int most_instances = 0;
  /// Minimum, mean and maximum number of upstreams that an instance uses.
  int least_upstreams = 0;
  double mean_upstreams = 0;
  int most_upstreams = 0;
  /// Load of the busiest upstream divided by the mean load, if every instance
  /// has the same traffic and spreads it evenly over the upstreams that it uses
  /// in its own zone.
  double zone_imbalance = 0;
  /// Minimum number of instances that still use an upstream after the loss of
  /// all instances in one zone, before a new plan is made.
  int least_after_zone_loss = 0;
  /// Fraction of the pairs of instance and upstream in the new plan that were
  /// not in the old plan, after the loss of one zone with its instances and
  /// upstreams.
  double moved_by_zone_loss = 0;
  /// The same fraction after the loss of one instance.
  double moved_by_instance_loss = 0;
  /// Time in which one instance computes its own part of the plan, in
  /// milliseconds.
  double plan_ms = 0;
};

/// Makes and measures a plan for `instances` instances and `replicas` replicas
/// in 20 zones and 9 regions; in 3 zones and 2 regions if there are fewer than
/// 40 instances.
SubsetResult RunSubsetBench(int instances, int replicas);

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_SUBSET_BENCH_H_
