#include "briarspread/rules/rule_distributor.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/rules/rules_fleet.h"

namespace briarspread {
namespace {

using testing::RulesFleet;

constexpr int kSmallFleet = 7;

std::string QueueText(std::uint64_t n) {
  return "queue length=" + std::to_string(n) + " # Rosa\n";
}

/// Applies a change to the rules in the store. Returns the new revision.
Revision AcceptChange(RulesFleet& fleet) {
  RuleStore store(RuleStoreSettings{}, fleet.memory, fleet.clock);
  const Revision base = ValueOf(store.Read()).rules.revision;
  const std::uint64_t n = base.value() + 1;
  const auto outcome = store.Apply(
      {OperationId("op-" + std::to_string(n)), base, QueueText(n), "Rosa"});
  REQUIRE(std::holds_alternative<RuleAcceptance>(outcome));
  return std::get<RuleAcceptance>(outcome).in_force.revision;
}

TEST_CASE("a change is in force on all instances within two seconds") {
  RulesFleet fleet(kSmallFleet, {});
  fleet.Run(seconds(5));
  REQUIRE(fleet.LowestRevision() == Revision(0));
  const Revision revision = AcceptChange(fleet);
  fleet.Run(seconds(2));
  REQUIRE(fleet.LowestRevision() == revision);
}

TEST_CASE("the store goes down after the accept: peers pass the change on") {
  RulesFleet fleet(kSmallFleet, {});
  AcceptChange(fleet);
  fleet.Run(seconds(3));
  const Revision revision = AcceptChange(fleet);
  // One instance reads the change before the store fails.
  auto& first = *fleet.instances[0];
  first.distributor.OnStoreAnswer(first.store.Read());
  fleet.memory.SetOutage(true);
  REQUIRE(fleet.LowestRevision() < revision);
  for (int i = 0; i < 20; ++i) {
    fleet.ExchangeDigests();
    fleet.Run(milliseconds(500));
  }
  REQUIRE(fleet.LowestRevision() == revision);
}

TEST_CASE("an instance that starts during an outage takes a peer's rules") {
  RulesFleet fleet(kSmallFleet, {});
  const Revision revision = AcceptChange(fleet);
  fleet.Run(seconds(3));
  fleet.memory.SetOutage(true);
  fleet.Replace(3);
  REQUIRE(fleet.LowestRevision() == Revision(0));
  REQUIRE(fleet.instances[3]->sink.published == 0);
  fleet.Run(seconds(5));
  REQUIRE(fleet.LowestRevision() == revision);
}

TEST_CASE("without a store and rules of a peer, no rules are put in force") {
  RulesFleet fleet(kSmallFleet, {});
  fleet.memory.SetOutage(true);
  fleet.Run(seconds(60));
  for (const auto& instance : fleet.instances) {
    REQUIRE(instance->sink.published == 0);
  }
}

TEST_CASE("an instance paused for a minute catches up without a reversal") {
  RulesFleet fleet(kSmallFleet, {});
  AcceptChange(fleet);
  fleet.Run(seconds(3));
  fleet.instances[2]->paused_until = fleet.clock.Now() + seconds(60);
  Revision last;
  for (int i = 0; i < 60; ++i) {
    last = AcceptChange(fleet);
    fleet.Run(seconds(1));
  }
  fleet.Run(seconds(2));
  REQUIRE(fleet.LowestRevision() == last);
  REQUIRE(fleet.CountReversals() == 0);
}

TEST_CASE("a lost watch event delays a change by one watch only") {
  RulesFleet fleet(kSmallFleet, {});
  AcceptChange(fleet);
  fleet.Run(seconds(3));
  const Revision revision = AcceptChange(fleet);
  // The event of the instance's watch is lost: it ends without a change.
  auto& victim = *fleet.instances[4];
  const StoredRules old = victim.distributor.KnownRules();
  victim.distributor.NextStoreAction();
  victim.distributor.OnStoreAnswer(old);
  fleet.Run(seconds(2));
  REQUIRE(fleet.LowestRevision() == revision);
}

TEST_CASE("an announcement is acted on while a call to the store blocks") {
  RulesFleet fleet(kSmallFleet, {});
  AcceptChange(fleet);
  fleet.Run(seconds(3));
  const Revision revision = AcceptChange(fleet);
  auto& first = *fleet.instances[0];
  auto& hung = *fleet.instances[1];
  first.distributor.OnStoreAnswer(first.store.Read());
  fleet.clock.Advance(seconds(2));
  REQUIRE(hung.distributor.NextStoreAction().kind ==
          RuleAction::Kind::kWatchStore);
  REQUIRE(hung.distributor.OnAnnouncement(RulesFleet::Name(0), revision));
  // The instance asks the peer after its watch had 200 ms to deliver the
  // change.
  REQUIRE(hung.distributor.NextPeerAction().kind == RuleAction::Kind::kWait);
  fleet.clock.Advance(milliseconds(200));
  hung.sync.StepPeers();
  REQUIRE(hung.distributor.InForce().revision == revision);
}

TEST_CASE("a starting instance asks peers while its first read blocks") {
  RulesFleet fleet(kSmallFleet, {});
  AcceptChange(fleet);
  fleet.Run(seconds(3));
  fleet.Replace(3);
  auto& starting = *fleet.instances[3];
  REQUIRE(starting.distributor.NextStoreAction().kind ==
          RuleAction::Kind::kReadStore);
  REQUIRE(starting.distributor.NextPeerAction().kind ==
          RuleAction::Kind::kWait);
  fleet.clock.Advance(milliseconds(500));
  for (int i = 0; i < 4; ++i) {
    starting.sync.StepPeers();
    fleet.clock.Advance(seconds(1));
  }
  REQUIRE(starting.distributor.InForce().revision == Revision(1));
}

TEST_CASE("a lower revision of a peer is refused") {
  RulesFleet fleet(kSmallFleet, {});
  for (int i = 0; i < 5; ++i) AcceptChange(fleet);
  fleet.Run(seconds(3));
  auto& distributor = fleet.instances[0]->distributor;
  distributor.OnPeerAnswer(RulesFleet::Name(1),
                           RuleText{Revision(4), QueueText(4)});
  REQUIRE(distributor.InForce() == RuleText{Revision(5), QueueText(5)});
  REQUIRE(distributor.counts().not_higher == 1);
}

TEST_CASE("a peer's malformed rules are refused") {
  RulesFleet fleet(kSmallFleet, {});
  AcceptChange(fleet);
  fleet.Run(seconds(3));
  auto& distributor = fleet.instances[0]->distributor;
  distributor.OnPeerAnswer(RulesFleet::Name(1),
                           RuleText{Revision(9), "queue length=x # Rosa\n"});
  REQUIRE(distributor.InForce().revision == Revision(1));
  REQUIRE(distributor.counts().malformed == 1);
}

/// Applies changes during random outages, lost answers, stale offers of peers,
/// pauses and replacements of instances. Returns how often an instance went
/// back to a lower revision.
int ReversalsUnderFaults(RulesFleet& fleet, std::uint64_t changes) {
  RuleStore operators(RuleStoreSettings{}, fleet.memory, fleet.clock);
  std::uint64_t accepted = 0;
  int proposals = 0;
  std::vector<RuleText> past;
  while (accepted < changes) {
    const std::uint64_t dice = fleet.random.Below(1000);
    fleet.memory.SetOutage(dice < 100);
    if (dice % 10 == 0) fleet.memory.LoseWriteAnswers(1);
    if (dice % 25 == 0) {
      fleet.instances[dice % kSmallFleet]->paused_until =
          fleet.clock.Now() + seconds(60);
    }
    if (dice % 200 == 0) fleet.Replace((dice / 200) % kSmallFleet);
    fleet.stale_offer = std::nullopt;
    if (!past.empty() && dice % 7 == 0) {
      fleet.stale_offer = past[fleet.random.Below(past.size())];
    }
    const auto outcome =
        operators.Apply({OperationId(std::to_string(++proposals)),
                         Revision(accepted), QueueText(proposals), "Rosa"});
    if (const auto* acceptance = std::get_if<RuleAcceptance>(&outcome)) {
      accepted = acceptance->in_force.revision.value();
      past.push_back(acceptance->in_force);
      if (past.size() > 50) past.erase(past.begin());
    }
    if (dice % 3 == 0) fleet.ExchangeDigests();
    fleet.Run(milliseconds(200));
  }
  fleet.memory.SetOutage(false);
  fleet.stale_offer = std::nullopt;
  fleet.Run(seconds(70));
  REQUIRE(fleet.LowestRevision() >= Revision(changes));
  return fleet.CountReversals();
}

TEST_CASE("no reversal over 10,000 changes under faults") {
  RulesFleet fleet(kSmallFleet, {});
  REQUIRE(ReversalsUnderFaults(fleet, 10'000) == 0);
}

TEST_CASE("without the revision check, instances go back under these faults") {
  RuleDistributorSettings settings;
  settings.only_higher_revisions = false;
  RulesFleet fleet(kSmallFleet, settings);
  REQUIRE(ReversalsUnderFaults(fleet, 200) > 0);
}

TEST_CASE("in a large fleet two instances per zone watch, others ask peers") {
  constexpr int kFleet = 410;
  RulesFleet fleet(kFleet, {});
  int watchers = 0;
  for (const auto& instance : fleet.instances) {
    watchers += instance->distributor.IsWatcher() ? 1 : 0;
  }
  // There are 21 zones, each with two watchers; the last zone has 10 instances.
  REQUIRE(watchers == 42);
  AcceptChange(fleet);
  fleet.Run(seconds(10));
  REQUIRE(fleet.LowestRevision() == Revision(1));
  const std::uint64_t before = fleet.memory.calls();
  const Revision revision = AcceptChange(fleet);
  std::uint64_t rounds = 0;
  while (fleet.LowestRevision() < revision && rounds < 38) {
    fleet.ExchangeDigests();
    fleet.Run(milliseconds(500));
    ++rounds;
  }
  REQUIRE(fleet.LowestRevision() == revision);
  // The bound is a tenth of the 2000 reads per second that the store permits,
  // over rounds of 500 ms.
  REQUIRE(fleet.memory.calls() - before < 100 * rounds);
}

TEST_CASE("another instance watches after all watchers of a zone are gone") {
  RuleDistributorSettings settings;
  settings.self = InstanceId("self");
  settings.zone = ZoneId("a");
  settings.watch_all_up_to = 0;
  testing::ManualClock clock;
  SeededRandom random(1);
  testing::RecordingSink sink;
  RuleDistributor distributor(settings, sink, clock, random);
  std::vector<RuleMember> members;
  members.reserve(40);
  for (int i = 0; i < 40; ++i) {
    members.push_back({InstanceId("peer-" + std::to_string(i)), ZoneId("a")});
  }
  distributor.OnMembers(members);
  REQUIRE_FALSE(distributor.IsWatcher());
  distributor.OnMembers({members[0]});
  REQUIRE(distributor.IsWatcher());
}

}  // namespace
}  // namespace briarspread
