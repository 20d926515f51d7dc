#ifndef BRIARSPREAD_ROUTING_SUBSET_PLAN_H_
#define BRIARSPREAD_ROUTING_SUBSET_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread {

/// How many instances use each upstream.
struct SubsetPlanSettings {
  /// Instances that use each upstream, at least, where there are as many.
  std::uint32_t instances_per_upstream = 16;
  /// Upstreams of each model or service that an instance uses on average, at
  /// least, where there are as many.
  std::uint32_t upstreams_per_instance = 24;
  /// Fraction of an upstream's instances taken from its own availability zone.
  double same_zone = 0.6;
  /// Fraction taken from the rest of its region.
  double same_region = 0.2;
};

/// One of the system's own instances, for the plan.
struct PlannedInstance {
  /// Its name.
  InstanceId id;
  /// Where it stands.
  Locality locality;
};

/// An upstream that an instance uses.
struct TrackedUpstream {
  /// Its index in the list given to `TrackedBy`.
  std::size_t index = 0;
  /// The instance's place among those that use it.
  InstanceShare share;
};

/// Decides which instances use which upstreams in a fleet where no instance can
/// follow the load of all. Each upstream is used by the instances that
/// rendezvous hashing names, most of them of its own zone, so that all
/// instances work out the same plan from the instance list without any message,
/// and a change of the list moves few pairs. Small fleets come out as everyone
/// using everything. Immutable; thread-safe.
class SubsetPlan {
 public:
  /// Precondition: `instances` is not empty and names each only once.
  SubsetPlan(const SubsetPlanSettings& settings,
             std::vector<PlannedInstance> instances);

  /// The upstreams that `self` uses, in the order of `upstreams`.
  /// Precondition: `self` is among the plan's instances.
  std::vector<TrackedUpstream> TrackedBy(
      const InstanceId& self,
      const std::vector<ListedInstance>& upstreams) const;

  /// For each upstream, the indexes of the instances that use it.
  std::vector<std::vector<std::size_t>> InstancesOfEach(
      const std::vector<ListedInstance>& upstreams) const;

 private:
  /// The instances as seen from one place, by index.
  struct Surroundings {
    std::vector<std::size_t> same_zone;
    std::vector<std::size_t> same_region;
    std::vector<std::size_t> elsewhere;
  };
  /// Works out one upstream after another.
  class Selector;

  std::uint32_t CoverageFor(std::size_t upstreams) const;
  Surroundings LookFrom(const Locality& locality) const;

  const SubsetPlanSettings settings_;
  /// The instances.
  const std::vector<PlannedInstance> instances_;
  /// The hash of each instance's name.
  std::vector<std::uint64_t> name_hashes_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_SUBSET_PLAN_H_
