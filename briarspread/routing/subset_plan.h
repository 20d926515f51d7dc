#ifndef BRIARSPREAD_ROUTING_SUBSET_PLAN_H_
#define BRIARSPREAD_ROUTING_SUBSET_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread {

/// Settings of a `SubsetPlan`.
struct SubsetPlanSettings {
  /// Minimum number of instances that use each upstream; all instances if there
  /// are fewer.
  std::uint32_t instances_per_upstream = 16;
  /// Minimum number of upstreams of each model or service that an instance uses
  /// on average; all of them if there are fewer.
  std::uint32_t upstreams_per_instance = 24;
  /// Fraction of an upstream's instances that are in its own availability zone.
  double same_zone = 0.6;
  /// Fraction of an upstream's instances that are in the other zones of its
  /// region.
  double same_region = 0.2;
};

/// One of the system's own instances, as input to the plan.
struct PlannedInstance {
  InstanceId id;
  Locality locality;
};

/// An upstream that an instance uses.
struct TrackedUpstream {
  /// Index of the upstream in the list passed to `TrackedBy`.
  std::size_t index = 0;
  /// The instance's share of the upstream.
  InstanceShare share;
};

/// Assigns a subset of the upstreams to each instance, for fleets that are too
/// large for each instance to track the load of all upstreams. Rendezvous
/// hashing selects the instances that use an upstream, most of them from the
/// upstream's own zone. All instances compute the same plan from the instance
/// list without communication, and a change of the list changes few pairs of
/// instance and upstream. In small fleets, every instance uses every upstream.
/// Immutable; thread-safe.
class SubsetPlan {
 public:
  /// Precondition: `instances` is not empty and contains no id twice.
  SubsetPlan(const SubsetPlanSettings& settings,
             std::vector<PlannedInstance> instances);

  /// Returns the upstreams that `self` uses, in the order of `upstreams`.
  /// Precondition: `self` is one of the plan's instances.
  std::vector<TrackedUpstream> TrackedBy(
      const InstanceId& self,
      const std::vector<ListedInstance>& upstreams) const;

  /// Returns, for each upstream, the indexes of the instances that use it, in
  /// the order of their ranks.
  std::vector<std::vector<std::size_t>> InstancesOfEach(
      const std::vector<ListedInstance>& upstreams) const;

 private:
  /// Indexes of all instances, grouped by their nearness to one locality.
  struct InstancesByNearness {
    std::vector<std::size_t> same_zone;
    std::vector<std::size_t> same_region;
    std::vector<std::size_t> other_regions;
  };
  /// Selects the instances of one upstream after another; reuses its buffers.
  class Selector;

  std::uint32_t InstanceCountFor(std::size_t upstreams) const;
  InstancesByNearness GroupByNearness(const Locality& locality) const;

  const SubsetPlanSettings settings_;
  const std::vector<PlannedInstance> instances_;
  /// Hash of the name of each instance, in the order of `instances_`.
  std::vector<std::uint64_t> name_hashes_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_SUBSET_PLAN_H_
