#ifndef BRIARSPREAD_MEMBERSHIP_GOSSIP_PLAN_H_
#define BRIARSPREAD_MEMBERSHIP_GOSSIP_PLAN_H_

#include <cstdint>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/membership/member.h"

namespace briarspread {

/// Settings of `GossipPlan`.
struct GossipPlanSettings {
  /// Number of peers of the own region that are sent a digest without a probe
  /// in each round.
  std::uint32_t fan_out = 2;
  /// Number of rounds between probes of a peer in another region. Links between
  /// regions are slow and billed by volume.
  std::uint32_t remote_probe_rounds = 4;
  /// Number of rounds between probes of a dead member. These let the two sides
  /// of a network partition find each other again.
  std::uint32_t dead_probe_rounds = 8;
};

/// The receivers of digests in one round.
struct GossipTargets {
  /// Members to probe.
  std::vector<InstanceId> probe;
  /// Members to send a digest that needs no answer. May repeat a member.
  std::vector<InstanceId> gossip;
};

/// Chooses the receivers of digests: in each round one member of the region to
/// probe, in a shuffled round-robin order, and a few random members of the
/// region to gossip with; at a lower rate members of other regions and dead
/// members to probe. If the region has no other member, a remote member is
/// probed in each round. Not thread-safe.
class GossipPlan {
 public:
  /// Precondition: `random` outlives this object.
  GossipPlan(const GossipPlanSettings& settings, const RegionId& region,
             RandomSource& random);

  /// Returns the targets of the next round among `members`, which must not
  /// contain this instance itself.
  GossipTargets Next(const std::vector<MemberRecord>& members);

 private:
  const InstanceId* PickNext(const std::vector<const MemberRecord*>& members);
  const MemberRecord* PickRandom(
      const std::vector<const MemberRecord*>& members);

  const GossipPlanSettings settings_;
  const RegionId region_;
  RandomSource& random_;
  std::uint64_t round_ = 0;
  /// Members of the region still to be probed in this pass, shuffled.
  std::vector<InstanceId> round_robin_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_GOSSIP_PLAN_H_
