#include "briarspread/batch/engine_placement.h"

#include <algorithm>

namespace briarspread::batch {
namespace {

Duration FastestOf(const std::vector<EngineView>& engines) {
  Duration fastest{0};
  for (const EngineView& engine : engines) {
    if (engine.event_interval.count() == 0) continue;
    if (fastest.count() == 0 || engine.event_interval < fastest) {
      fastest = engine.event_interval;
    }
  }
  return fastest;
}

}  // namespace

std::uint32_t EstimatedLoad(const EngineView& engine) {
  const std::int64_t change =
      std::int64_t{engine.own_in_flight} - std::int64_t{engine.own_at_report};
  const std::int64_t corrected = std::int64_t{engine.reported} + change;
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(corrected, engine.own_in_flight));
}

bool EnginePlacement::IsFit(const EngineNeed& need,
                            const EngineView& engine) const {
  if (!engine.is_open || engine.version < need.oldest_allowed) return false;
  if (EstimatedLoad(engine) >= engine.slots) return false;
  return std::find(need.avoid.begin(), need.avoid.end(), engine.id) ==
         need.avoid.end();
}

bool EnginePlacement::IsSlow(const EngineView& engine, Duration fastest) const {
  return fastest.count() > 0 &&
         static_cast<double>(engine.event_interval.count()) >
             settings_.slow_ratio * static_cast<double>(fastest.count());
}

double EnginePlacement::CostOf(const EngineNeed& need,
                               const EngineView& engine) const {
  double cost = static_cast<double>(EstimatedLoad(engine)) /
                static_cast<double>(engine.slots);
  if (!engine.is_same_region) cost += settings_.other_region;
  if (engine.id == need.preferred) cost -= settings_.cached_prompt;
  return cost;
}

std::optional<std::size_t> EnginePlacement::Choose(
    const EngineNeed& need, const std::vector<EngineView>& engines) const {
  const Duration fastest = FastestOf(engines);
  std::optional<std::size_t> best;
  double best_cost = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (!IsFit(need, engines[i])) continue;
    // A slow engine comes after every sound one, however empty it is.
    const double cost =
        CostOf(need, engines[i]) + (IsSlow(engines[i], fastest) ? 10.0 : 0.0);
    if (!best.has_value() || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

bool EnginePlacement::IsWorthMoving(
    std::size_t at, const EngineNeed& need,
    const std::vector<EngineView>& engines) const {
  const Duration fastest = FastestOf(engines);
  if (!IsSlow(engines[at], fastest)) return false;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (i == at || IsSlow(engines[i], fastest)) continue;
    if (IsFit(need, engines[i])) return true;
  }
  return false;
}

}  // namespace briarspread::batch
