#include "briarspread/membership/gossip_plan.h"

#include <algorithm>
#include <utility>

namespace briarspread {

GossipPlan::GossipPlan(const GossipPlanSettings& settings,
                       const RegionId& region, RandomSource& random)
    : settings_(settings), region_(region), random_(random) {}

GossipTargets GossipPlan::Next(const std::vector<MemberRecord>& members) {
  std::vector<const MemberRecord*> local;
  std::vector<const MemberRecord*> remote;
  std::vector<const MemberRecord*> dead;
  for (const MemberRecord& member : members) {
    if (member.liveness == Liveness::kDead) {
      dead.push_back(&member);
    } else if (member.locality.region == region_) {
      local.push_back(&member);
    } else {
      remote.push_back(&member);
    }
  }
  GossipTargets targets;
  // Starts at a random round; otherwise instances that start together would
  // send their rarer probes in the same rounds.
  if (round_ == 0) round_ = random_.Below(1 << 16);
  ++round_;
  if (const InstanceId* id = PickNext(local)) targets.probe.push_back(*id);
  for (std::uint32_t i = 0; i < settings_.fan_out && !local.empty(); ++i) {
    targets.gossip.push_back(PickRandom(local)->id);
  }
  const bool remote_due =
      local.empty() || round_ % settings_.remote_probe_rounds == 0;
  if (remote_due && !remote.empty()) {
    targets.probe.push_back(PickRandom(remote)->id);
  }
  if (round_ % settings_.dead_probe_rounds == 0 && !dead.empty()) {
    targets.probe.push_back(PickRandom(dead)->id);
  }
  return targets;
}

const MemberRecord* GossipPlan::PickRandom(
    const std::vector<const MemberRecord*>& members) {
  return members[random_.Below(members.size())];
}

const InstanceId* GossipPlan::PickNext(
    const std::vector<const MemberRecord*>& members) {
  if (members.empty()) return nullptr;
  const auto find = [&members](const InstanceId& id) {
    return std::find_if(members.begin(), members.end(),
                        [&id](const auto* it) { return it->id == id; });
  };
  // Skips members that are gone or dead since the order was shuffled.
  while (!round_robin_.empty() && find(round_robin_.back()) == members.end()) {
    round_robin_.pop_back();
  }
  if (round_robin_.empty()) {
    for (const MemberRecord* it : members) round_robin_.push_back(it->id);
    for (std::size_t i = round_robin_.size(); i > 1; --i) {
      std::swap(round_robin_[i - 1], round_robin_[random_.Below(i)]);
    }
  }
  const InstanceId& id = (*find(round_robin_.back()))->id;
  round_robin_.pop_back();
  return &id;
}

}  // namespace briarspread
