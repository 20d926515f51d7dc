#include "briarspread/membership/gossip_node.h"

#include <catch2/catch.hpp>

#include "tests/membership/gossip_network.h"

namespace briarspread {
namespace {

using testing::GossipNetwork;
using testing::ManualClock;
using testing::NetworkOptions;

/// Time limit for a change to reach all nodes, at these fleet sizes.
constexpr seconds kSpreadLimit{10};
/// Time limit for a failure to be detected, including the suspicion timeout,
/// and to reach all nodes.
constexpr seconds kDetectionLimit{60};

NetworkOptions MakeOptions(std::size_t nodes) {
  NetworkOptions options;
  options.nodes = nodes;
  options.node.peer_key = "shared";
  return options;
}

bool AllAlive(GossipNetwork& network) {
  for (std::size_t i = 0; i < network.size(); ++i) {
    if (!network.AllSee(i, MemberState::kAlive)) return false;
  }
  return true;
}

Notice MakeConviction(std::uint64_t fingerprint, const std::string& origin,
                      std::uint32_t count) {
  return {
      {Fingerprint(fingerprint), NoticeKind::kConviction, InstanceId(origin)},
      count,
      seconds(600)};
}

/// Returns how often a node marked a live one as dead right after a pause.
/// Datagrams are lost too, so that nodes have suspicions when they are paused.
std::uint64_t DeathsUnderPauses(milliseconds pause_limit) {
  NetworkOptions options = MakeOptions(7);
  options.loss = 0.2;
  options.node.pause_limit = pause_limit;
  GossipNetwork network(options);
  network.Run(seconds(10));
  std::uint64_t deaths = 0;
  for (std::size_t round = 0; round < 40; ++round) {
    const std::size_t paused = round % 7;
    const std::uint64_t before = network.node(paused).counts().deaths;
    network.Pause(paused, seconds(12));
    network.Run(milliseconds(12600));
    deaths += network.node(paused).counts().deaths - before;
    network.Run(seconds(10));
  }
  return deaths;
}

}  // namespace

TEST_CASE("no node is suspected without failures") {
  GossipNetwork network(MakeOptions(20));
  network.Run(std::chrono::minutes(1));
  CHECK(AllAlive(network));
  CHECK(network.Counts().suspicions == 0);
  CHECK(network.Counts().refused == 0);
}

TEST_CASE("a member that no list names is known to all") {
  GossipNetwork network(MakeOptions(20));
  network.Run(seconds(5));
  const std::size_t joined = network.AddNode();
  CHECK(network.RunUntil(
      [&] { return network.AllSee(joined, MemberState::kAlive); },
      kSpreadLimit));
}

TEST_CASE("a leaving member is known to all although the list lags") {
  GossipNetwork network(MakeOptions(20));
  network.Run(seconds(5));
  network.Leave(3);
  CHECK(network.RunUntil(
      [&] { return network.AllSee(3, MemberState::kLeaving); }, seconds(5)));
}

TEST_CASE("a killed member is dead to all, and alive after its restart") {
  GossipNetwork network(MakeOptions(20));
  network.Run(seconds(5));
  network.Leave(4);
  network.Run(seconds(5));
  network.Kill(4);
  CHECK(network.RunUntil([&] { return network.AllSee(4, MemberState::kDead); },
                         kDetectionLimit));
  SECTION("with a higher incarnation") {
    network.Restart(4, 2);
    CHECK(
        network.RunUntil([&] { return network.AllSee(4, MemberState::kAlive); },
                         kDetectionLimit));
  }
  SECTION("with the same incarnation its leaving state stays") {
    network.Restart(4, 1);
    network.Run(kDetectionLimit);
    CHECK_FALSE(network.AllSee(4, MemberState::kAlive));
  }
}

TEST_CASE("a paused member comes back, and suspects nobody for its own pause") {
  GossipNetwork network(MakeOptions(12));
  network.Run(seconds(5));
  network.Pause(2, std::chrono::minutes(1));
  CHECK(network.RunUntil([&] { return network.AllSee(2, MemberState::kDead); },
                         kDetectionLimit));
  CHECK(
      network.RunUntil([&] { return AllAlive(network); }, kDetectionLimit * 2));
}

TEST_CASE("a paused member takes no other for dead when it wakes") {
  CHECK(DeathsUnderPauses(std::chrono::hours(10)) > 0);
  CHECK(DeathsUnderPauses(milliseconds(1500)) == 0);
}

TEST_CASE("two regions cut apart for an hour find each other again") {
  GossipNetwork network(MakeOptions(7));
  network.Run(seconds(10));
  network.SetPartitioned(true);
  network.Run(std::chrono::hours(1));
  for (std::size_t i = 0; i < network.size(); ++i) {
    for (std::size_t j = 0; j < network.size(); ++j) {
      if (i == j) continue;
      const bool together = network.RegionOf(i) == network.RegionOf(j);
      REQUIRE(network.View(i, j) ==
              (together ? MemberState::kAlive : MemberState::kDead));
    }
  }
  network.node(0).SetRulesRevision(Revision(8));
  network.SetPartitioned(false);
  CHECK(network.RunUntil([&] { return AllAlive(network); }, kDetectionLimit));
  CHECK(network.RunUntil([&] { return network.AllHave(Revision(8)); },
                         kSpreadLimit));
}

TEST_CASE("no live member counts as dead with a tenth of datagrams lost") {
  NetworkOptions options = MakeOptions(20);
  options.loss = 0.1;
  GossipNetwork network(options);
  for (int i = 0; i < 120; ++i) {
    network.Run(seconds(1));
    for (std::size_t n = 0; n < network.size(); ++n) {
      REQUIRE(network.node(n).table().InState(MemberState::kDead).empty());
    }
  }
  CHECK(network.Counts().suspicions > 0);
  CHECK(network.Counts().refutations > 0);
}

TEST_CASE("without a suspicion timeout, live members count as dead") {
  NetworkOptions options = MakeOptions(20);
  options.loss = 0.1;
  options.node.table.suspicion_timeout = milliseconds(0);
  GossipNetwork network(options);
  std::size_t dead = 0;
  for (int i = 0; i < 120; ++i) {
    network.Run(seconds(1));
    for (std::size_t n = 0; n < network.size(); ++n) {
      dead += network.node(n).table().InState(MemberState::kDead).size();
    }
  }
  CHECK(dead > 0);
}

TEST_CASE("rules and convictions reach all, also past their first finder") {
  NetworkOptions options = MakeOptions(30);
  options.loss = 0.05;
  GossipNetwork network(options);
  network.Run(seconds(5));
  network.node(7).SetRulesRevision(Revision(42));
  network.node(7).AddNotice(MakeConviction(99, "entry-1007", 2));
  network.Run(seconds(1));
  network.Kill(7);
  const auto all_know = [&] {
    for (std::size_t i = 0; i < network.size(); ++i) {
      if (network.IsDead(i)) continue;
      if (network.node(i).notices().Total(Fingerprint(99),
                                          NoticeKind::kConviction) != 2) {
        return false;
      }
    }
    return network.AllHave(Revision(42));
  };
  CHECK(network.RunUntil(all_know, kSpreadLimit));
  CHECK(network.node(3).TakeNewNotices().size() == 1);
  const std::size_t late = network.AddNode();
  network.Run(kSpreadLimit);
  CHECK(network.node(late).notices().size() == 1);
}

TEST_CASE("a replayed digest of a dead member is no sign of life") {
  GossipNetwork network(MakeOptions(5));
  std::vector<std::string> recorded;
  network.on_deliver = [&](std::size_t to, const std::string& bytes) {
    if (to == 0) recorded.push_back(bytes);
  };
  network.Run(seconds(10));
  network.on_deliver = nullptr;
  network.Kill(1);
  CHECK(network.RunUntil([&] { return network.AllSee(1, MemberState::kDead); },
                         kDetectionLimit));
  for (const std::string& bytes : recorded) network.node(0).Receive(bytes);
  CHECK(network.View(0, 1) == MemberState::kDead);
  CHECK(network.node(0).counts().refused >= recorded.size());
  // A restarted process does not know the sequences, so it admits the digests;
  // their records are merged by version.
  network.Restart(0, 2);
  network.Run(kDetectionLimit);
  for (const std::string& bytes : recorded) network.node(0).Receive(bytes);
  CHECK(network.View(0, 1) == MemberState::kDead);
}

TEST_CASE("notices are summed over origins, expire and are bounded") {
  ManualClock clock;
  NoticeTable table(4, clock);
  CHECK(table.Merge(MakeConviction(1, "a", 1), 3));
  CHECK(table.Merge(MakeConviction(1, "b", 2), 3));
  CHECK_FALSE(table.Merge(MakeConviction(1, "b", 2), 3));
  CHECK_FALSE(table.Merge(MakeConviction(1, "b", 1), 3));
  CHECK(table.Total(Fingerprint(1), NoticeKind::kConviction) == 3);
  CHECK(table.Total(Fingerprint(1), NoticeKind::kSuspicion) == 0);
  for (std::uint64_t i = 2; i < 10; ++i) {
    table.Merge(MakeConviction(i, "a", 1), 3);
    CHECK(table.size() <= 4);
  }
  // Notices expire although two tables keep exchanging them.
  NoticeTable other(4, clock);
  for (int i = 0; i < 700; ++i) {
    for (const Notice& it : table.Next(4)) other.Merge(it, 3);
    for (const Notice& it : other.Next(4)) table.Merge(it, 3);
    clock.Advance(seconds(1));
    table.Expire();
    other.Expire();
  }
  CHECK(table.size() == 0);
  CHECK(other.size() == 0);
}

}  // namespace briarspread
