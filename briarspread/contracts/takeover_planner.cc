#include "briarspread/contracts/takeover_planner.h"

#include <algorithm>
#include <optional>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

/// Implements `PlanTakeovers` for one view.
class Planner {
 public:
  explicit Planner(const TakeoverView& view) : view_(view) {}

  std::vector<PlannedTakeover> Plan() const {
    std::vector<PlannedTakeover> plan;
    for (const Home& home : view_.table.homes) {
      if (home.owner == view_.self) continue;
      if (!NeedsTakeover(home) || !IsSuccessor(home)) continue;
      plan.push_back(TakeoverOf(home));
    }
    if (!plan.empty()) return plan;
    const Home* surplus = FindHomeToBalance();
    if (surplus != nullptr) plan.push_back(TakeoverOf(*surplus));
    return plan;
  }

 private:
  const ProbedInstance* Find(const InstanceId& instance) const {
    const auto it = view_.others.find(instance);
    return it == view_.others.end() ? nullptr : &it->second;
  }

  bool IsDead(const ProcessId& process) const {
    if (process.instance == view_.self.instance) {
      return process.incarnation != view_.self.incarnation;
    }
    const ProbedInstance* probed = Find(process.instance);
    if (probed == nullptr) return false;
    return probed->state == ProbeState::kDead ||
           (probed->state == ProbeState::kAlive &&
            probed->incarnation != process.incarnation);
  }

  bool NeedsTakeover(const Home& home) const {
    if (IsDead(home.owner)) return true;
    // A home stays with an owner that was never probed: there is no evidence
    // that the owner fails.
    const ProbedInstance* owner = Find(home.owner.instance);
    return owner != nullptr &&
           (owner->state == ProbeState::kUnresponsive || owner->leaving);
  }

  bool IsServing(const InstanceId& instance) const {
    if (instance == view_.self.instance) return true;
    const ProbedInstance* probed = Find(instance);
    return probed != nullptr && probed->state == ProbeState::kAlive &&
           !probed->leaving;
  }

  /// Returns whether the instance was never probed.
  bool IsUnprobed(const InstanceId& instance) const {
    return instance != view_.self.instance && Find(instance) == nullptr;
  }

  bool IsSuccessor(const Home& home) const {
    if (home.standby == view_.self.instance) return true;
    if (IsServing(home.standby) || IsUnprobed(home.standby)) return false;
    // The standby is not live, so the first live instance in the home's
    // rendezvous order is the successor.
    std::vector<std::string> live = {view_.self.instance.value()};
    for (const auto& [instance, probed] : view_.others) {
      if (IsServing(instance)) live.push_back(instance.value());
    }
    return RendezvousFirst(home.name.value(), live) == 0;
  }

  PlannedTakeover TakeoverOf(const Home& home) const {
    PlannedTakeover takeover;
    takeover.home = home.name;
    takeover.is_owner_dead = IsDead(home.owner);
    const ProbedInstance* standby = Find(home.standby);
    takeover.is_standby_dead =
        standby != nullptr && standby->state == ProbeState::kDead;
    takeover.next_standby = NextStandby(home);
    return takeover;
  }

  InstanceId NextStandby(const Home& home) const {
    std::vector<StandbyCandidate> candidates;
    for (const auto& [instance, probed] : view_.others) {
      if (IsServing(instance)) candidates.push_back({instance, probed.zone});
    }
    return ChooseStandby(home.name, {view_.self.instance, view_.self_zone},
                         candidates);
  }

  std::size_t HomesOf(const InstanceId& instance) const {
    return static_cast<std::size_t>(std::count_if(
        view_.table.homes.begin(), view_.table.homes.end(),
        [&](const Home& home) { return home.owner.instance == instance; }));
  }

  /// Returns a home whose standby is this instance and whose live owner has
  /// more homes than its share, if this instance has fewer than its share.
  /// Returns null otherwise.
  const Home* FindHomeToBalance() const {
    std::size_t live = 1;
    for (const auto& [instance, probed] : view_.others) {
      if (IsServing(instance)) ++live;
    }
    const std::size_t homes = view_.table.homes.size();
    const std::size_t most = (homes + live - 1) / live;
    if (HomesOf(view_.self.instance) >= homes / live) return nullptr;
    for (const Home& home : view_.table.homes) {
      if (home.standby == view_.self.instance && home.owner != view_.self &&
          IsServing(home.owner.instance) &&
          HomesOf(home.owner.instance) > most) {
        return &home;
      }
    }
    return nullptr;
  }

  const TakeoverView& view_;
};

}  // namespace

std::vector<PlannedTakeover> PlanTakeovers(const TakeoverView& view) {
  return Planner(view).Plan();
}

}  // namespace briarspread
