#include "briarspread/routing/subset_plan.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "tests/routing/routing_fixture.h"

namespace briarspread {
namespace {

using testing::MakeEngine;

constexpr int kZonesPerRegion = 2;

Locality LocalityAt(int i, int zones) {
  const int zone = i % zones;
  return {RegionId("r" + std::to_string(zone / kZonesPerRegion)),
          ZoneId("z" + std::to_string(zone))};
}

std::vector<PlannedInstance> MakeInstances(int n, int zones) {
  std::vector<PlannedInstance> instances;
  instances.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    instances.push_back(
        {InstanceId("entry-" + std::to_string(i)), LocalityAt(i, zones)});
  }
  return instances;
}

std::vector<ListedInstance> MakeUpstreams(int n, int zones) {
  std::vector<ListedInstance> upstreams;
  upstreams.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    const std::string name = "engine-" + std::to_string(i);
    upstreams.push_back(MakeEngine(name, LocalityAt(i, zones)).listed);
  }
  return upstreams;
}

TEST_CASE("in a small fleet every instance uses every upstream") {
  const SubsetPlan plan(SubsetPlanSettings{}, MakeInstances(7, 3));
  const auto tracked =
      plan.TrackedBy(InstanceId("entry-3"), MakeUpstreams(9, 3));
  REQUIRE(tracked.size() == 9);
  REQUIRE(tracked[0].share.count == 7);
}

TEST_CASE("the instances of an upstream have ranks from 0 to count - 1") {
  rc::prop("each upstream has `count` instances, and at least the minimum", [] {
    const int n = *rc::gen::inRange(1, 80);
    const int zones = *rc::gen::inRange(1, 6);
    const auto instances = MakeInstances(n, zones);
    const auto upstreams = MakeUpstreams(*rc::gen::inRange(1, 120), zones);
    const SubsetPlan plan(SubsetPlanSettings{}, instances);
    std::vector<std::set<std::uint32_t>> ranks(upstreams.size());
    std::vector<std::uint32_t> counts(upstreams.size());
    for (const PlannedInstance& instance : instances) {
      for (const auto& tracked : plan.TrackedBy(instance.id, upstreams)) {
        RC_ASSERT(ranks[tracked.index].insert(tracked.share.rank).second);
        counts[tracked.index] = tracked.share.count;
      }
    }
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      RC_ASSERT(ranks[i].size() == counts[i]);
      RC_ASSERT(*ranks[i].rbegin() + 1 == counts[i]);
      RC_ASSERT(counts[i] >= static_cast<std::uint32_t>(std::min(n, 16)));
    }
  });
}

TEST_CASE("the instances of an upstream are spread over at least three zones") {
  const int zones = 6;
  const auto instances = MakeInstances(120, zones);
  const auto upstreams = MakeUpstreams(600, zones);
  const SubsetPlan plan(SubsetPlanSettings{}, instances);
  for (const auto& users : plan.InstancesOfEach(upstreams)) {
    std::set<ZoneId> used;
    for (const std::size_t i : users) used.insert(instances[i].locality.zone);
    REQUIRE(used.size() >= 3);
  }
}

TEST_CASE("the loss of an instance takes no upstream from another instance") {
  auto instances = MakeInstances(120, 6);
  const auto upstreams = MakeUpstreams(600, 6);
  const SubsetPlan before(SubsetPlanSettings{}, instances);
  const InstanceId kept("entry-0");
  const auto old_pairs = before.TrackedBy(kept, upstreams);
  instances.erase(instances.begin() + 6);
  const SubsetPlan after(SubsetPlanSettings{}, instances);
  const auto new_pairs = after.TrackedBy(kept, upstreams);
  std::set<std::size_t> now;
  for (const auto& tracked : new_pairs) now.insert(tracked.index);
  for (const auto& tracked : old_pairs) REQUIRE(now.count(tracked.index) == 1);
}

}  // namespace
}  // namespace briarspread
