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

/// How far an upstream stands from this instance.
enum class Nearness { kSameZone, kSameRegion, kOtherRegion };

/// How far apart two places are. Thread-safe.
inline Nearness NearnessOf(const Locality& self, const Locality& other) {
  if (self == other) return Nearness::kSameZone;
  if (self.region == other.region) return Nearness::kSameRegion;
  return Nearness::kOtherRegion;
}

/// One member of a group.
struct GroupMember {
  /// Its index in the table.
  std::uint32_t index = 0;
  /// The hash of its name, for rendezvous hashing.
  std::uint64_t name_hash = 0;
};

/// Upstreams that serve the same and are equally near.
struct LocalityGroup {
  /// How near they are.
  Nearness nearness = Nearness::kSameZone;
  /// The link to their region; null unless `kOtherRegion`.
  std::shared_ptr<Link> link;
  /// The members, bucket by bucket. Those that the list shows as leaving are
  /// left out.
  std::vector<GroupMember> members;
  /// Where each bucket of `members` begins, and the end. Two-level rendezvous
  /// hashing weighs buckets first and then the members of one bucket, so that a
  /// decision hashes a few hundred names and not thousands.
  std::vector<std::uint32_t> bucket_begins;
  /// Mean load, as a fraction of slots, when the table was published.
  double published_load = 0;

  /// The members of bucket `i`. Precondition: `i` < `bucket_count()`.
  std::span<const GroupMember> Bucket(std::size_t i) const {
    return std::span(members).subspan(bucket_begins[i],
                                      bucket_begins[i + 1] - bucket_begins[i]);
  }
  /// How many buckets there are; a power of two, or zero before they are made.
  std::size_t bucket_count() const {
    return bucket_begins.empty() ? 0 : bucket_begins.size() - 1;
  }
};

/// All upstreams that serve one model or service.
struct UpstreamPool {
  /// Their kind.
  InstanceKind kind = InstanceKind::kModelEngine;
  /// The model or service.
  std::string serves;
  /// Same availability zone, then same region, then each other region; without
  /// empty groups.
  std::vector<LocalityGroup> groups;
};

/// Pools by kind and name. Immutable once built; thread-safe.
struct RoutingIndex {
  /// In the order of kind and name.
  std::vector<UpstreamPool> pools;

  /// The pool for a model or service, or null.
  const UpstreamPool* Find(InstanceKind kind, std::string_view serves) const;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTING_INDEX_H_
