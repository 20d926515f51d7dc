#include "briarspread/versions/version_planner.h"

#include <catch2/catch.hpp>
#include <map>
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

}  // namespace
}  // namespace briarspread::versions
