#ifndef BRIARSPREAD_MEMBERSHIP_GOSSIP_PLAN_H_
#define BRIARSPREAD_MEMBERSHIP_GOSSIP_PLAN_H_

#include <cstdint>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/membership/member.h"

namespace briarspread {

/// Settings of `GossipPlan`.
struct GossipPlanSettings {
  /// Peers of the own region that get a digest each round, unasked.
  std::uint32_t fan_out = 2;
  /// Rounds between probes of a peer in another region. The link between
  /// regions is slow and paid by volume.
  std::uint32_t remote_every = 4;
  /// Rounds between probes of a member believed dead, so that two sides of a
  /// cut find each other again.
  std::uint32_t dead_every = 8;
};

/// Whom to send to in one round.
struct GossipTargets {
  /// Members to probe.
  std::vector<InstanceId> probe;
  /// Members to send a digest that needs no answer.
  std::vector<InstanceId> gossip;
};

/// Chooses whom an instance talks to: each round one probe by turns and a few
/// random digests within the region, at a lower rate other regions and dead
/// members. Where the region has no other member, the remote peer is probed
/// each round. Not thread-safe.
class GossipPlan {
 public:
  /// Precondition: `random` outlives this object.
  GossipPlan(const GossipPlanSettings& settings, const RegionId& region,
             RandomSource& random);

  /// The next round's targets among `members`, which must not hold this
  /// instance itself.
  GossipTargets Next(const std::vector<MemberRecord>& members);

 private:
  const InstanceId* PickTurn(const std::vector<const MemberRecord*>& members);
  const MemberRecord* Pick(const std::vector<const MemberRecord*>& members);

  const GossipPlanSettings settings_;
  const RegionId region_;
  RandomSource& random_;
  std::uint64_t round_ = 0;
  /// Members of the region not probed yet in this turn, shuffled.
  std::vector<InstanceId> turn_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_GOSSIP_PLAN_H_
