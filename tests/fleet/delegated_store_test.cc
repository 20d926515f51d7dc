#include "briarspread/fleet/delegated_store.h"

#include <catch2/catch.hpp>
#include <deque>

#include "briarspread/fleet/watch_delegates.h"
#include "tests/fleet/hub_world.h"
#include "tests/fleet/instance_world.h"

namespace briarspread {
namespace {

using testing::AsyncMemoryStore;
using testing::HubServer;
using testing::ManualClock;
using testing::RecordingListener;
using testing::SettingsWithoutDelays;
using Fault = AsyncMemoryStore::Fault;

/// One instance: it watches a prefix as a delegate or as a follower, and serves
/// it to others.
struct Node {
  Node(asio::io_context& loop, AsyncMemoryStore& store, const Clock& clock,
       const DelegatedStoreSettings& settings = {},
       const StoreWatchSettings& watch_settings = SettingsWithoutDelays())
      : hub(loop, clock, {}),
        server(loop, hub),
        peers(loop),
        random(1),
        delegated(
            loop, store, peers, clock, random, [this] { return delegates; },
            settings),
        watch(loop, delegated, "a/", watch_settings,
              hub.WrapListener("a/", listener)) {
    hub.SetIsAtStore(
        [this](const std::string& it) { return delegated.IsAtStore(it); });
  }
  std::uint64_t CountOf(const std::string& asked) const {
    const auto it = delegated.counts().find("a/ " + asked);
    return it == delegated.counts().end() ? 0 : it->second;
  }

  std::vector<Endpoint> delegates;
  RecordingListener listener;
  WatchHub hub;
  HubServer server;
  PeerClient peers;
  SeededRandom random;
  DelegatedStore delegated;
  StoreWatch watch;
};

/// Two delegates, and followers of both.
struct Region {
  explicit Region(const Clock& clock, std::size_t followers) {
    for (std::size_t i = 0; i < 2 + followers; ++i) {
      Node& node = nodes.emplace_back(loop, store, clock);
      for (std::size_t j = 0; j < std::min<std::size_t>(i, 2); ++j) {
        node.delegates.push_back(nodes[j].server.endpoint());
      }
    }
    store.Write("a/1", "x");
    for (Node& node : nodes) {
      node.watch.Start();
      AwaitValues(node, 1);
    }
  }
  template <typename IsDone>
  void Await(const IsDone& is_done) {
    testing::Await(loop, store, is_done);
  }
  void AwaitValues(const Node& node, std::size_t n) {
    Await([&] { return node.listener.values.size() == n; });
  }
  void AwaitValuesEverywhere(std::size_t n) {
    for (const Node& node : nodes) AwaitValues(node, n);
  }

  asio::io_context loop;
  AsyncMemoryStore store;
  std::deque<Node> nodes;
};

InstanceRecord InRegion(const std::string& name, std::uint16_t port,
                        const std::string& region) {
  InstanceRecord record = testing::Record(name, 1);
  record.peer_endpoint.port = port;
  record.locality.region = RegionId(region);
  return record;
}

// Guards against delegates that wait for each other, and against one that is
// chosen although it leaves or is far away.
TEST_CASE("each instance asks the delegates before it in the region's order") {
  std::map<InstanceId, InstanceRecord> instances;
  for (std::uint16_t i = 1; i <= 9; ++i) {
    const InstanceId name("i" + std::to_string(i));
    instances[name] = InRegion(name.value(), i, i < 8 ? "r" : "other");
  }
  const auto delegates_of = [&](const InstanceId& self) {
    return ChooseWatchDelegates(instances, RegionId("r"), self);
  };
  const auto all = delegates_of(InstanceId("not registered yet"));
  REQUIRE(all.size() == 2);
  std::map<std::size_t, int> instances_by_delegates;
  for (const auto& [name, record] : instances) {
    if (record.locality.region != RegionId("r")) continue;
    const auto delegates = delegates_of(name);
    ++instances_by_delegates[delegates.size()];
    REQUIRE(std::equal(delegates.begin(), delegates.end(), all.begin()));
  }
  REQUIRE(instances_by_delegates ==
          std::map<std::size_t, int>{{0, 1}, {1, 1}, {2, 5}});
  for (auto& [name, record] : instances) {
    record.is_leaving = record.peer_endpoint == all[0];
  }
  REQUIRE(delegates_of(InstanceId("not registered yet"))[0] == all[1]);
}

// Guards against starts that all ask one peer, or that ask themselves.
TEST_CASE("a starting instance asks two of its seeds, not itself") {
  const auto at = [](std::uint16_t port) {
    return Endpoint{"127.0.0.1", port};
  };
  SeededRandom random(1);
  std::map<Endpoint, int> first;
  for (int i = 0; i < 300; ++i) {
    const auto peers = ChooseStartPeers({at(1), at(2), at(3)}, at(2), random);
    REQUIRE(peers.size() == 2);
    ++first[peers[0]];
  }
  REQUIRE(first.size() == 2);
  REQUIRE_FALSE(first.contains(at(2)));
  REQUIRE(ChooseStartPeers({at(2)}, at(2), random).empty());
}

// Guards against all followers of a delegate going to the store at once when it
// dies or the store turns it away.
TEST_CASE("followers of a failed delegate read from the second delegate") {
  constexpr std::size_t kFollowers = 8;
  constexpr std::size_t kChanges = 20;
  SystemClock clock;
  Region region(clock, kFollowers);
  const bool is_dead = GENERATE(false, true);
  INFO("is_dead=" << is_dead);
  const std::size_t calls = region.store.calls();
  if (is_dead) {
    region.nodes[0].server.listener.Stop();
  } else {
    region.nodes[0].hub.SetReachable(false);
  }
  for (std::size_t i = 0; i < kChanges; ++i) {
    region.store.Write("a/" + std::to_string(2 + i), "y");
    region.AwaitValuesEverywhere(2 + i);
  }
  // The two delegates' calls, and one of each follower that was faster than the
  // second delegate at most.
  REQUIRE(region.store.calls() - calls <= 2 * (kChanges + 1) + kFollowers / 2);
}

// Guards against a change that nobody sees because each of two instances takes
// the other for its delegate.
TEST_CASE("two followers of each other learn of a change") {
  asio::io_context loop;
  AsyncMemoryStore store;
  SystemClock clock;
  DelegatedStoreSettings settings;
  settings.wait = milliseconds(50);
  Node one(loop, store, clock, settings);
  Node two(loop, store, clock, settings);
  store.Write("a/1", "x");
  for (Node* node : {&one, &two}) {
    node->watch.Start();
    testing::Await(loop, store,
                   [&] { return node->listener.values.size() == 1; });
  }
  store.Write("a/2", "y");
  for (const Node* node : {&one, &two}) {
    testing::Await(loop, store,
                   [&] { return node->listener.values.size() == 2; });
  }
  one.delegates = {two.server.endpoint()};
  two.delegates = {one.server.endpoint()};
  // Ends the calls at the store, so that both continue at each other.
  store.Write("a/3", "z");
  testing::Await(loop, store, [&] {
    return !one.delegated.IsAtStore("a/") && !two.delegated.IsAtStore("a/");
  });
  store.Write("a/4", "z");
  for (const Node* node : {&one, &two}) {
    testing::Await(loop, store,
                   [&] { return node->listener.values.size() == 4; });
  }
}

// Guards against changes that are delayed twice: at the delegate, where the
// pause saves calls to the store, and at the follower, where it saves none.
TEST_CASE("a follower does not pause after changes from its delegate") {
  asio::io_context loop;
  AsyncMemoryStore store;
  SystemClock clock;
  StoreWatchSettings pausing = SettingsWithoutDelays();
  pausing.pause = std::chrono::hours(1);
  Node delegate(loop, store, clock);
  Node follower(loop, store, clock, {}, pausing);
  follower.delegates = {delegate.server.endpoint()};
  for (Node* node : {&delegate, &follower}) {
    node->watch.Start();
    testing::Await(loop, store, [&] { return node->listener.listings == 1; });
  }
  for (std::size_t i = 1; i <= 3; ++i) {
    store.Write("a/" + std::to_string(i), "y");
    testing::Await(loop, store,
                   [&] { return follower.listener.values.size() == i; });
  }
}

// Guards against a fleet that calls a store that is down as often as each of
// its watches repeats.
TEST_CASE("a follower seldom calls a store that is down, and finds it again") {
  ManualClock clock;
  Region region(clock, 1);
  Node& follower = region.nodes[2];
  region.nodes[0].hub.SetReachable(false);
  region.nodes[1].hub.SetReachable(false);
  region.store.Disconnect();
  region.store.SetFault(Fault::kRefuse);
  const DelegatedStoreSettings settings;
  follower.watch.Restart();
  region.Await([&] { return follower.CountOf("held_back") >= 20; });
  REQUIRE(follower.CountOf("store delegates_failed") == 1);
  clock.Advance(settings.store_pause);
  region.Await([&] { return follower.CountOf("held_back") >= 40; });
  REQUIRE(follower.CountOf("store delegates_failed") == 2);
  region.store.SetFault(Fault::kNone);
  region.store.Write("a/2", "y");
  clock.Advance(settings.store_pause);
  region.AwaitValues(follower, 2);
}

// Guards against a watch that is left waiting on a path to the store that no
// longer works: the failure of the call that it replaced must not hide it from
// the restart that follows the store's return.
TEST_CASE(
    "the failure of a replaced call does not hide the call at the store") {
  ManualClock clock;
  asio::io_context loop;
  AsyncMemoryStore store;
  Node node(loop, store, clock);
  int failed = 0;
  store.SetFault(Fault::kRefuse);
  node.delegated.Watch("b/", StoreIndex(0), milliseconds(1000),
                       [&](const auto& result) { failed += !IsOk(result); });
  store.SetFault(Fault::kNone);
  node.delegated.Watch("b/", StoreIndex(0), milliseconds(1000),
                       [](const auto&) {});
  testing::Await(loop, store, [&] { return failed == 1; });
  REQUIRE(node.delegated.IsAtStore("b/"));
  REQUIRE(node.delegated.DependsOnOwnPath("b/"));
}

}  // namespace
}  // namespace briarspread
