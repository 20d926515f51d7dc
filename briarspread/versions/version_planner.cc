#include "briarspread/versions/version_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "briarspread/core/rendezvous.h"

namespace briarspread::versions {
namespace {

/// An engine that could load a target's version.
struct LoadCandidate {
  /// Number of engines that have the target's version or get it before this
  /// one. The target with the lowest number comes first.
  std::size_t loads = 0;
  /// Number of versions that the engine is behind the target.
  std::uint64_t lag = 0;
  bool is_slow = false;
  /// Number of models for which the engine is not behind or is loading.
  std::size_t current_models = 0;
  /// Rendezvous weight of the engine for the model; breaks ties.
  std::uint64_t weight = 0;
  const EngineState* engine = nullptr;
  const ModelTarget* target = nullptr;
};

/// Returns how many versions an engine is behind a target; zero if it does not
/// have the model.
std::uint64_t LagOf(const EngineState& engine, const ModelTarget& target) {
  const std::uint64_t has = VersionOf(engine.loaded, target.model).value();
  if (has == 0 || has >= target.version.value()) return 0;
  return target.version.value() - has;
}

/// Numbers of open engines that have a target's version or are loading the
/// model.
struct LoadCount {
  std::size_t all = 0;
  /// Without those that are failing.
  std::size_t sound = 0;
};

LoadCount CountLoads(const ModelTarget& target,
                     const std::vector<EngineState>& engines) {
  LoadCount count;
  for (const EngineState& engine : engines) {
    const bool has = VersionOf(engine.loaded, target.model) >= target.version;
    const bool counts =
        engine.is_open && (has || engine.loading == target.model);
    count.all += counts;
    count.sound += counts && !engine.is_failing;
  }
  return count;
}

/// How many more engines are to load a target's version.
struct WantedLoads {
  std::size_t count = 0;
  /// Whether fewer are needed than the equal share, so that failing engines can
  /// be left out.
  bool is_limited = false;
};

/// `share` is the number of engines that may have the version.
WantedLoads CountWanted(const ModelTarget& target, const LoadCount& loads,
                        std::size_t share, double mean_slots,
                        const VersionPlannerSettings& settings) {
  const std::size_t by_share = share > loads.all ? share - loads.all : 0;
  if (!target.items.has_value()) return {by_share, false};
  const double slots =
      settings.slots_per_item * static_cast<double>(*target.items);
  const std::size_t need =
      static_cast<std::size_t>(std::ceil(slots / mean_slots)) +
      settings.spare_engines;
  const std::size_t by_need = need > loads.sound ? need - loads.sound : 0;
  return {std::min(by_share, by_need), by_need < by_share};
}

double MeanSlotsOf(const std::vector<EngineState>& engines) {
  double slots = 0;
  double open = 0;
  for (const EngineState& engine : engines) {
    if (!engine.is_open) continue;
    slots += std::max<std::uint32_t>(1, engine.slots);
    ++open;
  }
  return open > 0 ? slots / open : 1;
}

std::size_t CountCurrent(const EngineState& engine,
                         const std::vector<ModelTarget>& targets) {
  return static_cast<std::size_t>(std::count_if(
      targets.begin(), targets.end(), [&](const ModelTarget& target) {
        return engine.loading == target.model || LagOf(engine, target) == 0;
      }));
}

std::vector<LoadCandidate> CandidatesFor(
    const ModelTarget& target, const std::vector<ModelTarget>& targets,
    const std::vector<EngineState>& engines, const WantedLoads& wanted,
    std::size_t loads) {
  std::vector<LoadCandidate> result;
  for (const EngineState& engine : engines) {
    const std::uint64_t lag = LagOf(engine, target);
    if (!engine.is_open || engine.is_blocked || lag == 0) continue;
    if (wanted.is_limited && engine.is_failing) continue;
    const std::uint64_t weight =
        StableHash(engine.id.value(), StableHash(target.model.value()));
    result.push_back({0, lag, engine.is_slow, CountCurrent(engine, targets),
                      weight, &engine, &target});
  }
  std::sort(
      result.begin(), result.end(),
      [](const LoadCandidate& a, const LoadCandidate& b) {
        return std::make_tuple(a.is_slow, ~a.lag, a.current_models, a.weight) <
               std::make_tuple(b.is_slow, ~b.lag, b.current_models, b.weight);
      });
  result.resize(std::min(result.size(), wanted.count));
  for (std::size_t i = 0; i < result.size(); ++i) result[i].loads = loads + i;
  return result;
}

}  // namespace

WeightVersion VersionOf(const std::vector<forward::LoadedModel>& loaded,
                        const ModelName& model) {
  for (const forward::LoadedModel& each : loaded) {
    if (each.name == model) return each.version;
  }
  return WeightVersion(0);
}

std::vector<VersionOrder> VersionPlanner::Next(
    const std::vector<ModelTarget>& targets,
    const std::vector<EngineState>& engines) const {
  if (targets.empty()) return {};
  std::size_t open = 0;
  std::size_t loading = 0;
  for (const EngineState& engine : engines) {
    open += engine.is_open;
    loading += !engine.loading.value().empty();
  }
  const auto max_loading = static_cast<std::size_t>(
      std::ceil(settings_.loading_fraction * static_cast<double>(open)));
  const std::size_t share = std::max<std::size_t>(1, open / targets.size());
  std::vector<LoadCandidate> candidates;
  const double mean_slots = MeanSlotsOf(engines);
  for (const ModelTarget& target : targets) {
    const LoadCount loads = CountLoads(target, engines);
    const WantedLoads wanted =
        CountWanted(target, loads, share, mean_slots, settings_);
    if (wanted.count == 0) continue;
    const auto of_target =
        CandidatesFor(target, targets, engines, wanted, loads.all);
    candidates.insert(candidates.end(), of_target.begin(), of_target.end());
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const LoadCandidate& a, const LoadCandidate& b) {
                     return a.loads < b.loads;
                   });
  std::vector<VersionOrder> orders;
  std::vector<const EngineState*> assigned;
  for (const LoadCandidate& candidate : candidates) {
    if (loading >= max_loading) break;
    if (std::find(assigned.begin(), assigned.end(), candidate.engine) !=
        assigned.end()) {
      continue;
    }
    assigned.push_back(candidate.engine);
    orders.push_back({candidate.engine->id, candidate.target->model,
                      candidate.target->version});
    ++loading;
  }
  return orders;
}

}  // namespace briarspread::versions
