#include "briarspread/routing/subset_plan.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <utility>

#include "briarspread/core/rendezvous.h"
#include "briarspread/routing/split_mix_random.h"

namespace briarspread {
namespace {

using CountByService = std::map<std::string, std::size_t>;

CountByService CountServed(const std::vector<ListedInstance>& upstreams) {
  CountByService counts;
  for (const ListedInstance& upstream : upstreams) ++counts[upstream.serves];
  return counts;
}

std::uint32_t FractionOf(std::uint32_t count, double fraction) {
  return static_cast<std::uint32_t>(std::lround(count * fraction));
}

}  // namespace

SubsetPlan::SubsetPlan(const SubsetPlanSettings& settings,
                       std::vector<PlannedInstance> instances)
    : settings_(settings), instances_(std::move(instances)) {
  assert(!instances_.empty());
  name_hashes_.reserve(instances_.size());
  for (const PlannedInstance& instance : instances_) {
    name_hashes_.push_back(StableHash(instance.id.value()));
  }
}

std::uint32_t SubsetPlan::InstanceCountFor(std::size_t upstreams) const {
  // Number of pairs with which each instance uses `upstreams_per_instance`
  // upstreams on average.
  const std::size_t pairs =
      settings_.upstreams_per_instance * instances_.size();
  const std::size_t wanted = std::max<std::size_t>(
      settings_.instances_per_upstream, (pairs + upstreams - 1) / upstreams);
  return static_cast<std::uint32_t>(std::min(wanted, instances_.size()));
}

SubsetPlan::InstancesByNearness SubsetPlan::GroupByNearness(
    const Locality& locality) const {
  InstancesByNearness grouped;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    switch (NearnessOf(locality, instances_[i].locality)) {
      case Nearness::kSameZone:
        grouped.same_zone.push_back(i);
        break;
      case Nearness::kSameRegion:
        grouped.same_region.push_back(i);
        break;
      case Nearness::kOtherRegion:
        grouped.other_regions.push_back(i);
        break;
    }
  }
  return grouped;
}

class SubsetPlan::Selector {
 public:
  Selector(const SubsetPlan& plan, const std::vector<ListedInstance>& upstreams)
      : plan_(plan), counts_(CountServed(upstreams)) {}

  /// Returns the indexes of the instances that use `upstream`, in the order of
  /// their ranks. The reference is valid until the next call.
  const std::vector<std::size_t>& Select(const ListedInstance& upstream) {
    const std::uint32_t count =
        plan_.InstanceCountFor(counts_.at(upstream.serves));
    upstream_hash_ = StableHash(upstream.name);
    selected_.clear();
    spare_.clear();
    const InstancesByNearness& nearby = InstancesAround(upstream.locality);
    const std::uint32_t zone = FractionOf(count, plan_.settings_.same_zone);
    const std::uint32_t region = FractionOf(count, plan_.settings_.same_region);
    SelectBest(nearby.same_zone, zone, count);
    SelectBest(nearby.same_region, zone + region, count);
    SelectBest(nearby.other_regions, count, count);
    // If a zone or region has too few instances, others fill the remaining
    // places, nearest first.
    for (const std::size_t instance : spare_) {
      if (selected_.size() == count) break;
      selected_.push_back(instance);
    }
    return selected_;
  }

 private:
  struct Ranked {
    std::uint64_t weight = 0;
    std::size_t instance = 0;
    friend bool operator<(const Ranked& a, const Ranked& b) {
      return a.weight > b.weight;
    }
  };

  const InstancesByNearness& InstancesAround(const Locality& locality) {
    const auto it = instances_by_nearness_.find(locality);
    if (it != instances_by_nearness_.end()) return it->second;
    return instances_by_nearness_
        .emplace(locality, plan_.GroupByNearness(locality))
        .first->second;
  }

  /// Adds the `candidates` with the largest hash weights to `selected_` until
  /// it has `most` elements, and the next ones to `spare_`. Considers at most
  /// `count` candidates.
  void SelectBest(const std::vector<std::size_t>& candidates, std::size_t most,
                  std::size_t count) {
    ranked_.clear();
    for (const std::size_t i : candidates) {
      const std::uint64_t name_hash = plan_.name_hashes_[i];
      ranked_.push_back({MixBits(upstream_hash_ ^ MixBits(name_hash)), i});
    }
    // No more than `count` are needed in total, including those in `spare_`.
    const std::size_t n = std::min(ranked_.size(), count);
    std::partial_sort(ranked_.begin(),
                      ranked_.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked_.end());
    for (std::size_t i = 0; i < n; ++i) {
      auto& list = selected_.size() < most ? selected_ : spare_;
      list.push_back(ranked_[i].instance);
    }
  }

  const SubsetPlan& plan_;
  /// Number of upstreams of each model or service.
  const CountByService counts_;
  /// Cached results of `GroupByNearness`, by locality.
  std::map<Locality, InstancesByNearness> instances_by_nearness_;
  /// Hash of the name of the upstream that `Select` was called for.
  std::uint64_t upstream_hash_ = 0;
  /// Buffers that are reused to avoid allocations.
  std::vector<Ranked> ranked_;
  std::vector<std::size_t> selected_;
  std::vector<std::size_t> spare_;
};

std::vector<TrackedUpstream> SubsetPlan::TrackedBy(
    const InstanceId& self,
    const std::vector<ListedInstance>& upstreams) const {
  const auto own = std::find_if(
      instances_.begin(), instances_.end(),
      [&self](const PlannedInstance& instance) { return instance.id == self; });
  assert(own != instances_.end());
  const auto own_index = static_cast<std::size_t>(own - instances_.begin());
  std::vector<TrackedUpstream> tracked;
  Selector selector(*this, upstreams);
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const auto& users = selector.Select(upstreams[i]);
    const auto it = std::find(users.begin(), users.end(), own_index);
    if (it == users.end()) continue;
    const auto rank = static_cast<std::uint32_t>(it - users.begin());
    const auto count = static_cast<std::uint32_t>(users.size());
    tracked.push_back({i, InstanceShare{rank, count}});
  }
  return tracked;
}

std::vector<std::vector<std::size_t>> SubsetPlan::InstancesOfEach(
    const std::vector<ListedInstance>& upstreams) const {
  std::vector<std::vector<std::size_t>> instances;
  instances.reserve(upstreams.size());
  Selector selector(*this, upstreams);
  for (const ListedInstance& upstream : upstreams) {
    instances.push_back(selector.Select(upstream));
  }
  return instances;
}

}  // namespace briarspread
