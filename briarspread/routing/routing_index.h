#ifndef BRIARSPREAD_ROUTING_ROUTING_INDEX_H_
#define BRIARSPREAD_ROUTING_ROUTING_INDEX_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/upstream.h"
#include "briarspread/routing/link_budget.h"

namespace briarspread {

/// How near an upstream is to this instance, nearest first.
enum class Nearness { kSameZone, kSameRegion, kOtherRegion };

/// Returns how near `other` is to `self`. Thread-safe.
inline Nearness NearnessOf(const Locality& self, const Locality& other) {
  if (self == other) return Nearness::kSameZone;
  if (self.region == other.region) return Nearness::kSameRegion;
  return Nearness::kOtherRegion;
}

/// One upstream of a `LocalityGroup`.
struct GroupMember {
  /// Index of the upstream in `RoutingTable::upstreams`.
  std::uint32_t index = 0;
  /// Hash of the upstream's name, for rendezvous hashing.
  std::uint64_t name_hash = 0;
};

/// Upstreams that serve the same model or service and are equally near.
/// Upstreams of other regions are grouped by region.
struct LocalityGroup {
  Nearness nearness = Nearness::kSameZone;
  /// Link to the upstreams' region; null unless `nearness` is `kOtherRegion`.
  std::shared_ptr<Link> link;
  /// Members in the order of their buckets, without the upstreams that are
  /// listed as leaving.
  std::vector<GroupMember> members;
  /// Index in `members` at which each bucket begins, followed by the size of
  /// `members`. Two-level rendezvous hashing first selects a bucket and then a
  /// member of that bucket, so that a decision hashes a few hundred values
  /// instead of thousands.
  std::vector<std::uint32_t> bucket_begins;
  /// Mean load, as a fraction of slots, when the table was published.
  double published_load = 0;

  /// Returns the members of bucket `i`. Precondition: `i` < `bucket_count()`.
  std::span<const GroupMember> Bucket(std::size_t i) const {
    return std::span(members).subspan(bucket_begins[i],
                                      bucket_begins[i + 1] - bucket_begins[i]);
  }
  /// Number of buckets: a power of two, or zero before the buckets are built.
  std::size_t bucket_count() const {
    return bucket_begins.empty() ? 0 : bucket_begins.size() - 1;
  }
};

/// All upstreams that serve one model or service, grouped by nearness.
struct UpstreamPool {
  InstanceKind kind = InstanceKind::kModelEngine;
  /// The model or service.
  std::string serves;
  /// Groups in the order: own availability zone, rest of the own region, each
  /// other region. Empty groups are left out.
  std::vector<LocalityGroup> groups;
};

/// Index of pools by kind and by model or service. Immutable once built, and
/// then thread-safe.
struct RoutingIndex {
  /// Sorted by `kind` and `serves`.
  std::vector<UpstreamPool> pools;

  /// Returns the pool for a model or service, or null if no upstream serves it.
  const UpstreamPool* Find(InstanceKind kind, std::string_view serves) const;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTING_INDEX_H_
