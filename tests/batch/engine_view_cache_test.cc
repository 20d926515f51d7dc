#include "briarspread/batch/engine_view_cache.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "briarspread/core/rendezvous.h"
#include "tests/forward/forward_fixture.h"

namespace briarspread::batch {
namespace {

const ModelName kModels[] = {ModelName("m"), ModelName("n")};
const ServiceName kService("s");

/// Engines on which items of two models are placed, without a network.
struct World : forward::ForwardFixture {
  World() : peers(seconds(2), clock), cache(context, peers, self) {
    auto made = std::make_shared<forward::Configuration>();
    made->version = forward::ConfigurationVersion(1);
    forward::Service service;
    service.name = kService;
    service.memory_tokens = 100;
    made->services.push_back(service);
    configuration.UpdateIfNewer(made);
  }

  void AddEngine(int n, std::uint32_t slots, bool is_full_elsewhere) {
    forward::DiscoveredUpstream listed;
    listed.id = UpstreamId("e" + std::to_string(n));
    listed.service = kService;
    listed.slots = slots;
    listed.models = {{kModels[0], WeightVersion(1 + n % 3)},
                     {kModels[1], WeightVersion(1 + n % 2)}};
    directory.Put(listed);
    if (is_full_elsewhere) {
      peers.Put(InstanceId("p" + std::to_string(n)), {{listed.id, 2}});
    }
  }

  /// Changes the number of own items at an engine.
  void Change(const UpstreamId& id, int by, std::int64_t tokens) {
    directory.Find(id)->counters->in_flight += static_cast<std::uint32_t>(by);
    own_tokens[id] += by * tokens;
  }

  const InstanceRecord self;
  PeerEngineLoads peers;
  EngineViewCache cache;
  EngineViewCache::EngineTokens own_tokens;
};

// Guards against placements by views that are out of date: the choices must be
// those that views built anew for each item give.
TEST_CASE("views kept for a round give the placements of new views") {
  rc::prop("same choices", [] {
    World world;
    const int n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      world.AddEngine(i, *rc::gen::inRange<std::uint32_t>(1, 5),
                      *rc::gen::arbitrary<bool>());
    }
    EngineViewCache rebuilt(world.context, world.peers, world.self);
    const EnginePlacement placement{EnginePlacementSettings{}};
    world.cache.Start({});
    std::vector<std::pair<UpstreamId, std::int64_t>> running;
    for (int i = *rc::gen::inRange(1, 40); i > 0; --i) {
      if (!running.empty() && *rc::gen::inRange(0, 4) == 0) {
        const auto [id, tokens] = running.back();
        running.pop_back();
        world.Change(id, -1, tokens);
        world.cache.Update(id, -tokens);
      }
      EngineRequirements need;
      need.oldest_allowed = WeightVersion(*rc::gen::inRange(1, 4));
      need.tokens = *rc::gen::inRange(1, 60);
      const ModelName& model = kModels[*rc::gen::inRange(0, 2)];
      rebuilt.Start(world.own_tokens);
      const auto chosen =
          placement.Choose(need, world.cache.Of(kService, model));
      RC_ASSERT(chosen == placement.Choose(need, rebuilt.Of(kService, model)));
      if (!chosen.has_value()) continue;
      const UpstreamId id = world.cache.Of(kService, model)[*chosen].id;
      running.emplace_back(id, need.tokens);
      world.Change(id, 1, need.tokens);
      world.cache.Update(id, need.tokens);
    }
  });
}

/// The engines as one instance sees them that counts its own items.
struct Placer {
  Placer(std::uint64_t seed, std::size_t n) : engines(n) {
    for (std::size_t i = 0; i < n; ++i) {
      engines[i].id = UpstreamId("e" + std::to_string(i));
      engines[i].slots = 8;
      engines[i].is_one_of_many = true;
      engines[i].affinity =
          StableHash(engines[i].id.value(), StableHash("i", seed));
    }
  }

  /// Starts an item; returns its engine. Engines differ by 30% in speed.
  std::size_t Place() {
    const auto chosen = EnginePlacement({}).Choose({}, engines);
    REQUIRE(chosen.has_value());
    EngineView& engine = engines[*chosen];
    opened += engine.has_idle_connection ? 0 : 1;
    engine.has_idle_connection = false;
    ++engine.own_in_flight;
    engine.event_interval = milliseconds(20 + engine.affinity % 7);
    engine.is_interval_fresh = true;
    return *chosen;
  }
  void Finish(std::size_t i) {
    --engines[i].own_in_flight;
    engines[i].has_idle_connection = true;
  }

  std::vector<EngineView> engines;
  int opened = 0;
};

// Guards against a new connection for nearly each item where an instance
// chooses among all engines of a large fleet. Each of 410 instances has 12,000
// engines; a sample of six runs.
TEST_CASE("an instance of a large fleet opens one connection for ten items") {
  constexpr int kItems = 200;
  constexpr std::size_t kAtOnce = 8;
  std::set<std::size_t> first;
  for (std::uint64_t seed = 0; seed < 410; seed += 70) {
    Placer placer(seed, 12'000);
    std::deque<std::size_t> running;
    for (int i = 0; i < kItems; ++i) {
      if (running.size() == kAtOnce) {
        placer.Finish(running.front());
        running.pop_front();
      }
      running.push_back(placer.Place());
      if (i == 0) first.insert(running.back());
    }
    REQUIRE(placer.opened * 10 <= kItems);
  }
  // They do not all begin with the same engine.
  REQUIRE(first.size() == 6);
}

}  // namespace
}  // namespace briarspread::batch
