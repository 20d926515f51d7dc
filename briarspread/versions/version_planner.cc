#include "briarspread/versions/version_planner.h"

#include <algorithm>
#include <tuple>

#include "briarspread/core/rendezvous.h"

namespace briarspread::versions {
namespace {

/// How far an engine is behind a target; nothing where it lacks the model.
std::optional<std::uint64_t> LagOf(const EngineState& engine,
                                   const ModelTarget& target) {
  const std::uint64_t has = VersionOf(engine.loaded, target.model).value();
  if (has == 0) return std::nullopt;
  return target.version.value() > has ? target.version.value() - has : 0;
}

/// One way to assign an engine.
struct Option {
  std::size_t engine = 0;
  std::size_t target = 0;
  /// Whether the engine was ordered to follow this model before.
  bool is_followed = false;
  std::uint64_t lag = 0;
  std::uint64_t weight = 0;
};

std::vector<Option> OptionsOf(const std::vector<ModelTarget>& targets,
                              const std::vector<EngineState>& engines) {
  constexpr std::uint64_t kFirstVersion = 1;
  std::vector<Option> options;
  for (std::size_t e = 0; e < engines.size(); ++e) {
    if (!engines[e].is_open) continue;
    for (std::size_t t = 0; t < targets.size(); ++t) {
      const auto lag = LagOf(engines[e], targets[t]);
      if (!lag.has_value()) continue;
      const WeightVersion has = VersionOf(engines[e].loaded, targets[t].model);
      options.push_back({e, t, has.value() > kFirstVersion, *lag,
                         StableHash(engines[e].id.value(),
                                    StableHash(targets[t].model.value()))});
    }
  }
  std::sort(
      options.begin(), options.end(), [](const Option& a, const Option& b) {
        return std::make_tuple(!a.is_followed, a.lag, ~a.weight, a.engine) <
               std::make_tuple(!b.is_followed, b.lag, ~b.weight, b.engine);
      });
  return options;
}

}  // namespace

WeightVersion VersionOf(const std::vector<forward::LoadedModel>& loaded,
                        const ModelName& model) {
  for (const forward::LoadedModel& each : loaded) {
    if (each.name == model) return each.version;
  }
  return WeightVersion(0);
}

std::map<UpstreamId, ModelName> VersionPlanner::Assign(
    const std::vector<ModelTarget>& targets,
    const std::vector<EngineState>& engines) const {
  std::map<UpstreamId, ModelName> assigned;
  if (targets.empty()) return assigned;
  const auto open = static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(),
                    [](const EngineState& engine) { return engine.is_open; }));
  const std::size_t share = open / targets.size();
  std::size_t extra = open % targets.size();
  std::vector<std::size_t> counts(targets.size(), 0);
  // First each model gets its whole share, then what is left goes round.
  for (const bool takes_extra : {false, true}) {
    for (const Option& option : OptionsOf(targets, engines)) {
      const UpstreamId& id = engines[option.engine].id;
      if (assigned.contains(id)) continue;
      if (counts[option.target] >= share + (takes_extra ? 1 : 0)) continue;
      if (counts[option.target] == share) {
        if (extra == 0) continue;
        --extra;
      }
      assigned.emplace(id, targets[option.target].model);
      ++counts[option.target];
    }
  }
  return assigned;
}

std::vector<VersionOrder> VersionPlanner::Next(
    const std::vector<ModelTarget>& targets,
    const std::vector<EngineState>& engines) const {
  const auto assigned = Assign(targets, engines);
  std::map<ModelName, std::size_t> loading;
  std::size_t all_loading = 0;
  struct Need {
    std::uint64_t lag;
    const EngineState* engine;
    const ModelTarget* target;
  };
  std::vector<Need> needs;
  for (const EngineState& engine : engines) {
    const auto it = assigned.find(engine.id);
    if (engine.is_busy) {
      ++all_loading;
      if (it != assigned.end()) ++loading[it->second];
    }
    if (it == assigned.end() || engine.is_busy) continue;
    for (const ModelTarget& target : targets) {
      if (target.model != it->second) continue;
      const auto lag = LagOf(engine, target);
      if (lag.value_or(0) > 0) needs.push_back({*lag, &engine, &target});
    }
  }
  std::stable_sort(needs.begin(), needs.end(),
                   [](const Need& a, const Need& b) { return a.lag > b.lag; });
  std::vector<VersionOrder> orders;
  for (const Need& need : needs) {
    if (all_loading >= settings_.max_loading) break;
    std::size_t& of_model = loading[need.target->model];
    if (of_model >= settings_.max_loading_of_model) continue;
    orders.push_back(
        {need.engine->id, need.target->model, need.target->version});
    ++of_model;
    ++all_loading;
  }
  return orders;
}

}  // namespace briarspread::versions
