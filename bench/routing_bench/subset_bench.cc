#include "bench/routing_bench/subset_bench.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bench/routing_bench/fleet.h"

namespace briarspread::bench {
namespace {

/// Name of an instance and name of an upstream that it uses.
using Pair = std::pair<std::string, std::string>;

/// A fleet and its subset plan.
struct PlannedFleet {
  std::vector<PlannedInstance> instances;
  std::vector<ListedInstance> replicas;
  /// For each replica, the indexes of the instances that use it.
  std::vector<std::vector<std::size_t>> users;
};

PlannedFleet PlanFleet(std::vector<PlannedInstance> instances,
                       std::vector<ListedInstance> replicas) {
  const SubsetPlan plan(SubsetPlanSettings{}, instances);
  auto users = plan.InstancesOfEach(replicas);
  return {std::move(instances), std::move(replicas), std::move(users)};
}

std::set<Pair> PairsOf(const PlannedFleet& fleet) {
  std::set<Pair> pairs;
  for (std::size_t i = 0; i < fleet.users.size(); ++i) {
    for (const std::size_t user : fleet.users[i]) {
      pairs.emplace(fleet.instances[user].id.value(), fleet.replicas[i].name);
    }
  }
  return pairs;
}

double FractionOfNewPairs(const std::set<Pair>& before,
                          const std::set<Pair>& after) {
  const auto is_new = [&before](const Pair& pair) {
    return before.count(pair) == 0;
  };
  const auto n = std::count_if(after.begin(), after.end(), is_new);
  return static_cast<double>(n) / static_cast<double>(after.size());
}

void MeasureSpread(const PlannedFleet& fleet, SubsetResult& result) {
  std::vector<int> sizes(fleet.instances.size(), 0);
  std::vector<int> near_sizes(fleet.instances.size(), 0);
  const auto is_near = [&fleet](std::size_t user, std::size_t replica) {
    return fleet.instances[user].locality == fleet.replicas[replica].locality;
  };
  result.least_instances = static_cast<int>(fleet.instances.size());
  for (std::size_t i = 0; i < fleet.users.size(); ++i) {
    const int n = static_cast<int>(fleet.users[i].size());
    result.least_instances = std::min(result.least_instances, n);
    result.most_instances = std::max(result.most_instances, n);
    for (const std::size_t user : fleet.users[i]) {
      ++sizes[user];
      if (is_near(user, i)) ++near_sizes[user];
    }
  }
  const auto [least, most] = std::minmax_element(sizes.begin(), sizes.end());
  result.least_upstreams = *least;
  result.most_upstreams = *most;
  result.mean_upstreams = std::accumulate(sizes.begin(), sizes.end(), 0.0) /
                          static_cast<double>(sizes.size());
  std::vector<double> loads(fleet.users.size(), 0);
  for (std::size_t i = 0; i < fleet.users.size(); ++i) {
    for (const std::size_t user : fleet.users[i]) {
      if (is_near(user, i)) loads[i] += 1.0 / near_sizes[user];
    }
  }
  const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                      static_cast<double>(loads.size());
  result.zone_imbalance = *std::max_element(loads.begin(), loads.end()) / mean;
}

void MeasureZoneLoss(const PlannedFleet& fleet, SubsetResult& result) {
  const Locality lost = fleet.replicas[0].locality;
  result.least_after_zone_loss = result.most_instances;
  for (const auto& users : fleet.users) {
    const auto left =
        std::count_if(users.begin(), users.end(), [&](std::size_t user) {
          return fleet.instances[user].locality != lost;
        });
    result.least_after_zone_loss =
        std::min(result.least_after_zone_loss, static_cast<int>(left));
  }
  auto instances = fleet.instances;
  std::erase_if(instances, [&](const PlannedInstance& instance) {
    return instance.locality == lost;
  });
  auto replicas = fleet.replicas;
  std::erase_if(replicas, [&](const ListedInstance& replica) {
    return replica.locality == lost;
  });
  const auto after = PlanFleet(std::move(instances), std::move(replicas));
  result.moved_by_zone_loss =
      FractionOfNewPairs(PairsOf(fleet), PairsOf(after));
}

void MeasureInstanceLoss(const PlannedFleet& fleet, SubsetResult& result) {
  auto instances = fleet.instances;
  instances.pop_back();
  const auto after = PlanFleet(std::move(instances), fleet.replicas);
  result.moved_by_instance_loss =
      FractionOfNewPairs(PairsOf(fleet), PairsOf(after));
}

double TimePlan(const PlannedFleet& fleet) {
  const auto begin = std::chrono::steady_clock::now();
  const SubsetPlan plan(SubsetPlanSettings{}, fleet.instances);
  const auto tracked = plan.TrackedBy(fleet.instances[0].id, fleet.replicas);
  const std::chrono::duration<double, std::milli> taken =
      std::chrono::steady_clock::now() - begin;
  return tracked.empty() ? 0 : taken.count();
}

}  // namespace

SubsetResult RunSubsetBench(int instances, int replicas) {
  const bool is_small = instances < 40;
  const FleetSize size{instances, replicas, is_small ? 3 : 20, is_small ? 2 : 9,
                       is_small ? 1 : 3};
  const auto fleet = PlanFleet(MakeInstances(size), MakeReplicas(size));
  SubsetResult result;
  MeasureSpread(fleet, result);
  MeasureZoneLoss(fleet, result);
  MeasureInstanceLoss(fleet, result);
  result.plan_ms = TimePlan(fleet);
  return result;
}

}  // namespace briarspread::bench
