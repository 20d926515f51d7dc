#include "briarspread/contracts/takeover_planner.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

ProcessId Process(const std::string& name, std::uint64_t incarnation = 1) {
  return {InstanceId(name), Incarnation(incarnation)};
}

ProbedInstance Alive(std::uint64_t incarnation = 1) {
  ProbedInstance probed;
  probed.incarnation = Incarnation(incarnation);
  return probed;
}

/// Instance `b`'s view of homes of `a` (standby b), itself, and `c`
/// (standby a).
TakeoverView ViewOfB() {
  TakeoverView view;
  view.self = Process("b");
  view.table.homes = {{HomeName("1"), Process("a"), Epoch(1), InstanceId("b")},
                      {HomeName("2"), Process("b"), Epoch(1), InstanceId("c")},
                      {HomeName("3"), Process("c"), Epoch(1), InstanceId("a")}};
  view.others = {{InstanceId("a"), Alive()}, {InstanceId("c"), Alive()}};
  return view;
}

TEST_CASE("nothing is taken over while all owners serve") {
  REQUIRE(PlanTakeovers(ViewOfB()).empty());
}

TEST_CASE("the standby takes over from an owner that is lost") {
  TakeoverView view = ViewOfB();
  ProbedInstance& owner = view.others[InstanceId("a")];
  bool is_dead = false;
  SECTION("gone") {
    owner.state = ProbeState::kDead;
    is_dead = true;
  }
  SECTION("started again") {
    owner.incarnation = Incarnation(2);
    is_dead = true;
  }
  SECTION("silent") { owner.state = ProbeState::kUnresponsive; }
  SECTION("leaving") { owner.leaving = true; }
  const auto plan = PlanTakeovers(view);
  REQUIRE(plan.size() == 1);
  REQUIRE(plan[0].home == HomeName("1"));
  REQUIRE(plan[0].is_owner_dead == is_dead);
}

TEST_CASE("an instance that has probed nobody takes nothing over") {
  TakeoverView view = ViewOfB();
  view.self = Process("d");
  view.others.clear();
  REQUIRE(PlanTakeovers(view).empty());
  view.self = Process("b");
  REQUIRE(PlanTakeovers(view).empty());
}

TEST_CASE("a live standby is left its home") {
  TakeoverView view = ViewOfB();
  view.others[InstanceId("c")].state = ProbeState::kDead;
  for (const PlannedTakeover& takeover : PlanTakeovers(view)) {
    REQUIRE(takeover.home != HomeName("3"));
  }
}

TEST_CASE("without owner and standby exactly one live instance takes over") {
  TakeoverView view;
  view.table.homes = {{HomeName("1"), Process("a"), Epoch(1), InstanceId("b")}};
  ProbedInstance gone;
  gone.state = ProbeState::kDead;
  int planned = 0;
  for (const std::string self : {"c", "d", "e"}) {
    view.self = Process(self);
    view.others = {{InstanceId("a"), gone}, {InstanceId("b"), gone}};
    for (const std::string other : {"c", "d", "e"}) {
      if (other != self) view.others[InstanceId(other)] = Alive();
    }
    const auto plan = PlanTakeovers(view);
    planned += static_cast<int>(plan.size());
    if (!plan.empty()) REQUIRE(plan[0].is_standby_dead);
  }
  REQUIRE(planned == 1);
}

TEST_CASE("an instance without its share takes one home it stands by for") {
  TakeoverView view;
  view.self = Process("b", 2);
  view.table.homes = {{HomeName("1"), Process("a"), Epoch(3), InstanceId("b")},
                      {HomeName("2"), Process("a"), Epoch(1), InstanceId("b")}};
  view.others = {{InstanceId("a"), Alive()}};
  REQUIRE(PlanTakeovers(view).size() == 1);
}

}  // namespace
}  // namespace briarspread
