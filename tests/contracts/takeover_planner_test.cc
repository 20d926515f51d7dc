#include "briarspread/contracts/takeover_planner.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

ProcessId MakeProcessId(const std::string& name,
                        std::uint64_t incarnation = 1) {
  return {InstanceId(name), Incarnation(incarnation)};
}

ProbedInstance AliveInstance(std::uint64_t incarnation = 1) {
  ProbedInstance probed;
  probed.incarnation = Incarnation(incarnation);
  return probed;
}

/// Returns the view of instance `b`. Home 1 is owned by `a` with standby `b`,
/// home 2 by `b` with standby `c`, home 3 by `c` with standby `a`.
TakeoverView ViewOfB() {
  TakeoverView view;
  view.self = MakeProcessId("b");
  view.table.homes = {
      {HomeName("1"), MakeProcessId("a"), Epoch(1), InstanceId("b")},
      {HomeName("2"), MakeProcessId("b"), Epoch(1), InstanceId("c")},
      {HomeName("3"), MakeProcessId("c"), Epoch(1), InstanceId("a")}};
  view.others = {{InstanceId("a"), AliveInstance()},
                 {InstanceId("c"), AliveInstance()}};
  return view;
}

TEST_CASE("no home is taken over while all owners are live") {
  REQUIRE(PlanTakeovers(ViewOfB()).empty());
}

TEST_CASE("the standby takes over from an owner that is not live") {
  TakeoverView view = ViewOfB();
  ProbedInstance& owner = view.others[InstanceId("a")];
  bool is_dead = false;
  SECTION("gone") {
    owner.state = ProbeState::kDead;
    is_dead = true;
  }
  SECTION("was restarted") {
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

TEST_CASE("an instance without probe results takes no home over") {
  TakeoverView view = ViewOfB();
  view.self = MakeProcessId("d");
  view.others.clear();
  REQUIRE(PlanTakeovers(view).empty());
  view.self = MakeProcessId("b");
  REQUIRE(PlanTakeovers(view).empty());
}

TEST_CASE("no other instance takes over a home with a live standby") {
  TakeoverView view = ViewOfB();
  view.others[InstanceId("c")].state = ProbeState::kDead;
  for (const PlannedTakeover& takeover : PlanTakeovers(view)) {
    REQUIRE(takeover.home != HomeName("3"));
  }
}

TEST_CASE("exactly one live instance takes over if owner and standby ended") {
  TakeoverView view;
  view.table.homes = {
      {HomeName("1"), MakeProcessId("a"), Epoch(1), InstanceId("b")}};
  ProbedInstance gone;
  gone.state = ProbeState::kDead;
  int planned = 0;
  for (const std::string self : {"c", "d", "e"}) {
    view.self = MakeProcessId(self);
    view.others = {{InstanceId("a"), gone}, {InstanceId("b"), gone}};
    for (const std::string other : {"c", "d", "e"}) {
      if (other != self) view.others[InstanceId(other)] = AliveInstance();
    }
    const auto plan = PlanTakeovers(view);
    planned += static_cast<int>(plan.size());
    if (!plan.empty()) REQUIRE(plan[0].is_standby_dead);
  }
  REQUIRE(planned == 1);
}

TEST_CASE("a standby with less than its share takes over one home") {
  TakeoverView view;
  view.self = MakeProcessId("b", 2);
  view.table.homes = {
      {HomeName("1"), MakeProcessId("a"), Epoch(3), InstanceId("b")},
      {HomeName("2"), MakeProcessId("a"), Epoch(1), InstanceId("b")}};
  view.others = {{InstanceId("a"), AliveInstance()}};
  REQUIRE(PlanTakeovers(view).size() == 1);
}

}  // namespace
}  // namespace briarspread
