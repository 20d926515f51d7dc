#include "briarspread/versions/version_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

namespace briarspread::versions {
namespace {

const ModelName kA("a");
const ModelName kB("b");
const ModelName kC("c");

std::vector<EngineState> Engines(int n, const std::vector<ModelName>& models) {
  std::vector<EngineState> engines;
  for (int i = 0; i < n; ++i) {
    EngineState engine;
    engine.id = UpstreamId("e" + std::to_string(i));
    for (const ModelName& model : models) {
      engine.loaded.push_back({model, WeightVersion(1)});
    }
    engines.push_back(engine);
  }
  return engines;
}

void ExecuteOrder(std::vector<EngineState>& engines,
                  const VersionOrder& order) {
  for (EngineState& engine : engines) {
    if (engine.id != order.engine) continue;
    for (auto& loaded : engine.loaded) {
      if (loaded.name == order.model) loaded.version = order.version;
    }
  }
}

/// Executes the planner's orders until there are none. Returns the engines that
/// loaded each model.
std::map<ModelName, std::set<UpstreamId>> ExecuteAllOrders(
    const VersionPlanner& planner, const std::vector<ModelTarget>& targets,
    std::vector<EngineState>& engines) {
  std::map<ModelName, std::set<UpstreamId>> loaded;
  for (int i = 0; i < 1000; ++i) {
    const auto orders = planner.Next(targets, engines);
    if (orders.empty()) return loaded;
    for (const VersionOrder& order : orders) {
      ExecuteOrder(engines, order);
      loaded[order.model].insert(order.engine);
    }
  }
  FAIL("the planner still returns orders after 1000 rounds");
  return loaded;
}

// Three trainers name a version every few seconds, on nine engines that load
// one version at a time. Loading every version on every engine would take twice
// the time between two versions.
TEST_CASE("each version goes to an equal share of the engines most behind") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(9, {kA, kB, kC});
  std::map<ModelName, std::set<UpstreamId>> before;
  for (std::uint64_t v = 2; v < 12; ++v) {
    const std::vector<ModelTarget> targets = {
        {kA, WeightVersion(v)}, {kB, WeightVersion(v)}, {kC, WeightVersion(v)}};
    const auto loaded = ExecuteAllOrders(planner, targets, engines);
    for (const ModelTarget& target : targets) {
      const auto& now = loaded.at(target.model);
      REQUIRE(now.size() == 3);
      // Engines with the previous version, which the current step may use, do
      // not load.
      for (const UpstreamId& id : before[target.model]) {
        REQUIRE_FALSE(now.contains(id));
      }
    }
    before = loaded;
  }
}

TEST_CASE("steps of two models begin on different engines") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(8, {kA, kB});
  for (std::uint64_t v = 2; v < 8; ++v) {
    const auto loaded = ExecuteAllOrders(
        planner, {{kA, WeightVersion(v)}, {kB, WeightVersion(v)}}, engines);
    for (const UpstreamId& id : loaded.at(kA)) {
      REQUIRE_FALSE(loaded.at(kB).contains(id));
    }
  }
}

TEST_CASE("the number of concurrent loads is limited by loading_fraction") {
  VersionPlannerSettings settings;
  settings.loading_fraction = 0.2;
  const VersionPlanner planner{settings};
  REQUIRE(planner.Next({{kA, WeightVersion(2)}}, Engines(9, {kA})).size() == 2);
  REQUIRE(planner.Next({{kA, WeightVersion(2)}}, Engines(44, {kA})).size() ==
          9);
  REQUIRE(planner.Next({{kA, WeightVersion(2)}}, Engines(1, {kA})).size() == 1);
}

// Found by a simulated day: engines that answered no report counted as loading,
// so only one order at a time was sent for the rest of the day.
TEST_CASE("an engine that does not answer does not count as loading") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(9, {kA});
  engines[0].is_blocked = true;
  engines[1].is_blocked = true;
  REQUIRE(planner.Next({{kA, WeightVersion(2)}}, engines).size() == 2);
}

TEST_CASE(
    "an engine with an order in progress counts and gets no other order") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(9, {kA, kB});
  engines[0].is_blocked = true;
  engines[0].loading = kA;
  const auto orders =
      planner.Next({{kA, WeightVersion(2)}, {kB, WeightVersion(2)}}, engines);
  REQUIRE(orders.size() == 1);
  REQUIRE(orders[0].engine != engines[0].id);
}

TEST_CASE("only the newest version is loaded, older ones are skipped") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(2, {kA});
  for (const VersionOrder& order :
       planner.Next({{kA, WeightVersion(5)}}, engines)) {
    REQUIRE(order.version == WeightVersion(5));
  }
}

TEST_CASE("leaving engines and those without the model get no order") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(3, {kA});
  engines[0].is_open = false;
  engines[1].loaded.clear();
  const auto orders = planner.Next({{kA, WeightVersion(2)}}, engines);
  REQUIRE(orders.size() == 1);
  REQUIRE(orders[0].engine == engines[2].id);
  REQUIRE(planner.Next({}, engines).empty());
}

std::vector<ModelTarget> Targets(std::uint64_t version,
                                 std::optional<std::uint64_t> items) {
  const WeightVersion v(version);
  return {{kA, v, items}, {kB, v, items}, {kC, v, items}};
}

// Guards against loads on an equal share of all engines, of which the steps
// use a few: each load costs.
TEST_CASE("plentiful engines load only as many versions as the steps need") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(300, {kA, kB, kC});
  for (EngineState& engine : engines) engine.slots = 8;
  std::map<ModelName, std::set<UpstreamId>> before;
  for (std::uint64_t v = 2; v < 6; ++v) {
    // 64 items in twice the slots, and two spare engines.
    const auto loaded = ExecuteAllOrders(planner, Targets(v, 64), engines);
    for (const ModelName& model : {kA, kB, kC}) {
      REQUIRE(loaded.at(model).size() == 18);
      for (const UpstreamId& id : before[model]) {
        REQUIRE_FALSE(loaded.at(model).contains(id));
      }
    }
    before = loaded;
  }
}

// Guards against jobs that wait because the engines with their version are
// lost and no others get it.
TEST_CASE("engines that are lost after they loaded a version are replaced") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(300, {kA, kB, kC});
  for (EngineState& engine : engines) engine.slots = 8;
  const auto targets = Targets(2, 64);
  ExecuteAllOrders(planner, targets, engines);
  std::map<ModelName, std::size_t> lost;
  int n = 0;
  for (EngineState& engine : engines) {
    for (const ModelTarget& target : targets) {
      if (VersionOf(engine.loaded, target.model) != target.version) continue;
      if (++n % 2 == 0) continue;
      // Some leave, others do not answer.
      (n % 4 == 1 ? engine.is_open : engine.is_failing) = n % 4 != 1;
      ++lost[target.model];
    }
  }
  const auto loaded = ExecuteAllOrders(planner, targets, engines);
  for (const ModelTarget& target : targets) {
    REQUIRE(lost[target.model] >= 8);
    REQUIRE(loaded.at(target.model).size() == lost[target.model]);
    for (const UpstreamId& id : loaded.at(target.model)) {
      const auto it =
          std::find_if(engines.begin(), engines.end(),
                       [&](const EngineState& e) { return e.id == id; });
      REQUIRE((it->is_open && !it->is_failing));
    }
  }
}

TEST_CASE("scarce engines get the same orders whatever the steps need") {
  const VersionPlanner planner{VersionPlannerSettings{}};
  auto engines = Engines(9, {kA, kB, kC});
  engines[4].is_failing = true;
  for (std::uint64_t v = 2; v < 6; ++v) {
    const auto orders = planner.Next(Targets(v, 64), engines);
    REQUIRE_FALSE(orders.empty());
    REQUIRE(orders == planner.Next(Targets(v, std::nullopt), engines));
    ExecuteAllOrders(planner, Targets(v, 64), engines);
  }
}

}  // namespace
}  // namespace briarspread::versions
