#include <catch2/catch.hpp>

#include "tests/fleet/hub_world.h"
#include "tests/fleet/instance_world.h"

namespace briarspread {
namespace {

using testing::AsyncMemoryStore;
using testing::Await;
using testing::HubServer;
using testing::Instance;
using testing::ManualClock;
using testing::RecordingListener;
using testing::SettingsWithoutDelays;
using Fault = AsyncMemoryStore::Fault;

/// Delivers the store's answers and runs the timers that are due, repeatedly.
void RunUntilIdle(asio::io_context& loop, AsyncMemoryStore& store) {
  for (int i = 0; i < 20; ++i) {
    store.Deliver();
    loop.restart();
    loop.poll();
  }
}

TEST_CASE("a watch reports changes and lists again if the history is lost") {
  asio::io_context loop;
  AsyncMemoryStore store;
  RecordingListener recorder;
  store.Write("a/1", "x");
  StoreWatch watch(loop, store, "a/", SettingsWithoutDelays(), recorder);
  watch.Start();
  RunUntilIdle(loop, store);
  REQUIRE(recorder.values == std::map<std::string, std::string>{{"a/1", "x"}});

  store.Write("a/2", "y");
  store.Write("b/1", "other");
  store.Erase("a/1");
  RunUntilIdle(loop, store);
  REQUIRE(recorder.values == std::map<std::string, std::string>{{"a/2", "y"}});
  REQUIRE(recorder.listings == 1);

  store.Write("a/3", "z");
  store.CompactHistory();
  RunUntilIdle(loop, store);
  REQUIRE(recorder.listings == 2);
  REQUIRE(recorder.values.size() == 2);
}

TEST_CASE("restarting a watch ends its backoff and replaces a hung call") {
  // While the store does not answer, a call can hang for the whole wait of a
  // watch; changes made after the store has recovered must not wait for it.
  asio::io_context loop;
  AsyncMemoryStore store;
  RecordingListener recorder;
  StoreWatchSettings settings = SettingsWithoutDelays();
  settings.initial_backoff = std::chrono::hours(1);
  settings.max_backoff = std::chrono::hours(1);
  StoreWatch watch(loop, store, "a/", settings, recorder);
  store.SetFault(Fault::kRefuse);
  watch.Start();
  store.Deliver();
  store.SetFault(Fault::kNone);
  store.Write("a/1", "x");
  // Restart during the backoff after a failed call.
  watch.Restart();
  store.Deliver();
  REQUIRE(recorder.values.size() == 1);
  // Restart while a call is in flight that will never be answered.
  store.Disconnect();
  store.Write("a/2", "y");
  watch.Restart();
  store.Deliver();
  REQUIRE(recorder.values.size() == 2);
}

TEST_CASE("a watch retries after a refused listing") {
  asio::io_context loop;
  AsyncMemoryStore store;
  RecordingListener recorder;
  store.SetFault(Fault::kRefuse);
  StoreWatch watch(loop, store, "a/", SettingsWithoutDelays(), recorder);
  watch.Start();
  store.Deliver();
  REQUIRE_FALSE(watch.has_listed());
  store.SetFault(Fault::kNone);
  store.Write("a/1", "x");
  RunUntilIdle(loop, store);
  REQUIRE(recorder.values.size() == 1);
}

/// One instance that watches the store, and one that uses it as its delegate.
struct FollowerWorld {
  FollowerWorld()
      : hub(loop, clock, {}),
        server(loop, hub),
        peers(loop),
        random(1),
        delegated(loop, store, peers, clock, random,
                  [this] { return std::vector<Endpoint>{server.endpoint()}; },
                  {}),
        delegate_watch(loop, store, "a/", SettingsWithoutDelays(),
                       hub.WrapListener("a/", delegate_listener)),
        follower_watch(loop, delegated, "a/", SettingsWithoutDelays(),
                       follower_listener) {}

  template <typename IsDone>
  void Await(const IsDone& is_done) {
    REQUIRE(testing::RunUntil(loop, [&] {
      store.Deliver();
      return is_done();
    }));
  }

  asio::io_context loop;
  SystemClock clock;
  AsyncMemoryStore store;
  WatchHub hub;
  HubServer server;
  PeerClient peers;
  SeededRandom random;
  DelegatedStore delegated;
  RecordingListener delegate_listener;
  RecordingListener follower_listener;
  StoreWatch delegate_watch;
  StoreWatch follower_watch;
};

TEST_CASE("a follower receives all changes without calling the store") {
  FollowerWorld world;
  world.store.Write("a/1", "x");
  world.delegate_watch.Start();
  world.Await([&] { return world.delegate_listener.values.size() == 1; });
  const std::size_t calls = world.store.calls();
  world.follower_watch.Start();
  world.Await([&] { return world.follower_listener.values.size() == 1; });
  for (int i = 0; i < 20; ++i) {
    world.store.Write("a/" + std::to_string(i), std::string("\x00\xff", 2));
    world.Await([&] {
      return world.follower_listener.values.contains("a/" + std::to_string(i));
    });
  }
  world.store.Erase("a/1");
  world.Await([&] { return !world.follower_listener.values.contains("a/1"); });
  REQUIRE(world.follower_listener.values == world.delegate_listener.values);
  // The waiting watch call and one call for each change are the delegate's.
  REQUIRE(world.store.calls() <= calls + 22);
}

TEST_CASE("a follower calls the store if its delegate cannot reach the store") {
  FollowerWorld world;
  world.store.Write("a/1", "x");
  world.delegate_watch.Start();
  world.follower_watch.Start();
  world.Await([&] { return world.follower_listener.values.size() == 1; });
  world.hub.SetReachable(false);
  const int calls = world.server.calls;
  world.store.Write("a/2", "y");
  world.Await([&] { return world.follower_listener.values.size() == 2; });
  REQUIRE(world.server.calls <= calls + 1);
}

TEST_CASE("a change log returns nothing if a requested change was evicted") {
  ChangeLog log(2);
  log.ApplyListing({{{"k", "v", StoreIndex(5)}}, StoreIndex(10)});
  REQUIRE_FALSE(log.ChangesAfter(StoreIndex(9)).has_value());
  REQUIRE(log.ChangesAfter(StoreIndex(10))->changes.empty());
  log.ApplyChanges({{{"k", StoreIndex(11), std::nullopt},
                     {"l", StoreIndex(12), "w"},
                     {"m", StoreIndex(13), "w"}},
                    StoreIndex(14)});
  REQUIRE_FALSE(log.ChangesAfter(StoreIndex(10)).has_value());
  REQUIRE(log.ChangesAfter(StoreIndex(11))->changes.size() == 2);
  REQUIRE(log.Listing().items.size() == 2);
  REQUIRE(log.store_index() == StoreIndex(14));
}

TEST_CASE(
    "an instance is removed when its lease expires, and registers again") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  Instance b(loop, store, clock, "b");
  Await(loop, store, [&] { return a.registry.Peers().size() == 1; });
  REQUIRE(a.registry.IsRegistered(InstanceId("b"), Incarnation(1)));
  REQUIRE_FALSE(a.registry.IsRegistered(InstanceId("b"), Incarnation(2)));
  store.ExpireLease(b.registry.lease());
  Await(loop, store, [&] { return a.registry.Peers().empty(); });
  // Instance b is still running and registers again with a new lease.
  Await(loop, store, [&] { return a.registry.Peers().size() == 1; });
}

// Guards against an instance that writes its registration again because a
// listing or a change from before the registration arrived after it.
TEST_CASE("an older listing does not take away the own registration") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  const std::string key = "fleet/instances/a";
  store.Write(key, nlohmann::json(testing::Record("a", 7)).dump());
  const StoreIndex before = store.items().at(key).index;
  Instance a(loop, store, clock, "a");
  const auto is_registered = [&] {
    const auto it = a.registry.instances().find(InstanceId("a"));
    return it != a.registry.instances().end() &&
           it->second == a.registry.self();
  };
  Await(loop, store, is_registered);
  a.registry.OnListing({{}, before});
  REQUIRE(is_registered());
  a.registry.OnListing({{{key, store.items().at(key).value, before}}, before});
  REQUIRE(is_registered());
  a.registry.OnChanges({{{key, before, std::nullopt}}, before});
  REQUIRE(is_registered());
  // A later removal counts.
  const StoreIndex after(store.items().at(key).index.value() + 1);
  a.registry.OnChanges({{{key, after, std::nullopt}}, after});
  REQUIRE_FALSE(is_registered());
}

TEST_CASE("a malformed registration is ignored") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  store.Write("fleet/instances/x", "no json");
  store.Write("fleet/instances/y", "{\"name\":7}");
  Instance a(loop, store, clock, "a");
  Await(loop, store, [&] { return a.registry.has_listed(); });
  REQUIRE(a.registry.Peers().empty());
}

}  // namespace
}  // namespace briarspread
