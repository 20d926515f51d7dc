#include "briarspread/routing/routing_table.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "briarspread/core/rendezvous.h"
#include "briarspread/routing/load_estimate.h"

namespace briarspread {
namespace {

/// Base of the bucket size: the number of buckets is doubled while they hold on
/// average more than twice this many members.
constexpr std::size_t kMembersPerBucket = 64;

/// Identifies and orders the groups of a pool. The region is set only for
/// groups of other regions.
struct GroupKey {
  Nearness nearness = Nearness::kSameZone;
  RegionId region;
  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

struct PoolKey {
  InstanceKind kind = InstanceKind::kModelEngine;
  std::string serves;
  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
};

using Groups = std::map<GroupKey, LocalityGroup>;

std::size_t BucketCountFor(std::size_t members) {
  std::size_t count = 1;
  while (members / count > 2 * kMembersPerBucket) count *= 2;
  return count;
}

/// Sorts the members by bucket, so that each bucket is one range.
void MakeBuckets(LocalityGroup& group) {
  const std::size_t count = BucketCountFor(group.members.size());
  const auto bucket_of = [count](const GroupMember& member) {
    return member.name_hash % count;
  };
  std::stable_sort(group.members.begin(), group.members.end(),
                   [&](const GroupMember& a, const GroupMember& b) {
                     return bucket_of(a) < bucket_of(b);
                   });
  group.bucket_begins.assign(count + 1, 0);
  for (const GroupMember& member : group.members) {
    ++group.bucket_begins[bucket_of(member) + 1];
  }
  for (std::size_t i = 0; i < count; ++i) {
    group.bucket_begins[i + 1] += group.bucket_begins[i];
  }
}

double MeanLoad(const LocalityGroup& group,
                const std::vector<UpstreamView>& upstreams) {
  double total = 0;
  for (const GroupMember& member : group.members) {
    total += upstreams[member.index].published_load;
  }
  return total / static_cast<double>(group.members.size());
}

UpstreamPool MakePool(const PoolKey& key, Groups& groups,
                      const std::vector<UpstreamView>& upstreams,
                      const Locality& self, LinkBudget& links) {
  UpstreamPool pool{key.kind, key.serves, {}};
  for (auto& [group_key, group] : groups) {
    group.nearness = group_key.nearness;
    if (group.nearness == Nearness::kOtherRegion) {
      group.link = links.LinkBetween(self.region, group_key.region);
    }
    MakeBuckets(group);
    group.published_load = MeanLoad(group, upstreams);
    pool.groups.push_back(std::move(group));
  }
  return pool;
}

}  // namespace

const UpstreamPool* RoutingIndex::Find(InstanceKind kind,
                                       std::string_view serves) const {
  const auto key = std::make_pair(kind, serves);
  const auto it = std::lower_bound(
      pools.begin(), pools.end(), key,
      [](const UpstreamPool& pool, const auto& wanted) {
        return std::make_pair(pool.kind, std::string_view{pool.serves}) <
               wanted;
      });
  if (it == pools.end() || it->kind != kind || it->serves != serves) {
    return nullptr;
  }
  return &*it;
}

std::unique_ptr<RoutingTable> MakeRoutingTable(
    std::vector<UpstreamView> upstreams, const Locality& self,
    LinkBudget& links) {
  auto table = std::make_unique<RoutingTable>();
  table->self = self;
  table->upstreams = std::move(upstreams);
  std::sort(table->upstreams.begin(), table->upstreams.end(),
            [](const UpstreamView& a, const UpstreamView& b) {
              return a.listed.name < b.listed.name;
            });
  std::map<PoolKey, Groups> pools;
  for (std::size_t i = 0; i < table->upstreams.size(); ++i) {
    UpstreamView& upstream = table->upstreams[i];
    upstream.published_load = LoadEstimate(upstream).Fraction();
    const ListedInstance& listed = upstream.listed;
    if (listed.state == ListedState::kLeaving) continue;
    const Nearness nearness = NearnessOf(self, listed.locality);
    GroupKey key;
    key.nearness = nearness;
    if (nearness == Nearness::kOtherRegion) key.region = listed.locality.region;
    LocalityGroup& group = pools[PoolKey{listed.kind, listed.serves}][key];
    const auto index = static_cast<std::uint32_t>(i);
    group.members.push_back(GroupMember{index, StableHash(listed.name)});
  }
  for (auto& [key, groups] : pools) {
    table->index.pools.push_back(
        MakePool(key, groups, table->upstreams, self, links));
  }
  return table;
}

}  // namespace briarspread
