#include "briarspread/batch/engine_placement.h"

#include <algorithm>

namespace briarspread::batch {
namespace {

Duration FastestOf(const std::vector<EngineView>& engines) {
  Duration fastest{0};
  for (const EngineView& engine : engines) {
    if (engine.event_interval.count() == 0 || !engine.is_interval_fresh) {
      continue;
    }
    if (fastest.count() == 0 || engine.event_interval < fastest) {
      fastest = engine.event_interval;
    }
  }
  return fastest;
}

bool IsWithinSlowStart(const EngineView& engine) {
  return !engine.paced.has_value() ||
         (EstimatedLoad(engine) < engine.paced->total &&
          engine.own_in_flight < engine.paced->own);
}

}  // namespace

std::uint32_t EstimatedLoad(const EngineView& engine) {
  const std::int64_t change = std::int64_t{engine.own_in_flight} -
                              std::int64_t{engine.own_in_flight_at_report};
  const std::int64_t corrected = std::int64_t{engine.reported_load} + change;
  const std::int64_t sum_of_reports =
      std::int64_t{engine.own_in_flight} + std::int64_t{engine.peer_in_flight};
  return static_cast<std::uint32_t>(std::max(corrected, sum_of_reports));
}

bool IsEligible(const EngineRequirements& need, const EngineView& engine) {
  if (!engine.is_usable || !engine.has_permit) return false;
  if (engine.version < need.oldest_allowed) return false;
  const bool fits_text =
      need.software.value().empty() || engine.software == need.software;
  if (!fits_text) return false;
  return std::find(need.avoided_engines.begin(), need.avoided_engines.end(),
                   engine.id) == need.avoided_engines.end();
}

bool EnginePlacement::HasRoom(const EngineRequirements& need,
                              const EngineView& engine) const {
  if (EstimatedLoad(engine) >= engine.slots) return false;
  // An engine without own items accepts an item of any size.
  return engine.own_in_flight == 0 || !engine.free_tokens.has_value() ||
         *engine.free_tokens >= need.tokens;
}

bool EnginePlacement::IsSlow(const EngineView& engine, Duration fastest) const {
  return fastest.count() > 0 &&
         static_cast<double>(engine.event_interval.count()) >
             settings_.slow_ratio * static_cast<double>(fastest.count());
}

double EnginePlacement::ExcessOf(const EngineView& engine,
                                 Duration fastest) const {
  if (fastest.count() == 0) return 0;
  if (engine.is_one_of_many && engine.event_interval.count() == 0) {
    return settings_.assumed_excess;
  }
  if (engine.event_interval <= fastest) return 0;
  return static_cast<double>(engine.event_interval.count()) /
             static_cast<double>(fastest.count()) -
         1;
}

double EnginePlacement::CostOf(const EngineRequirements& need,
                               const EngineView& engine,
                               Duration fastest) const {
  double cost = static_cast<double>(EstimatedLoad(engine)) /
                static_cast<double>(engine.slots);
  cost += settings_.slowness_penalty * ExcessOf(engine, fastest) *
          std::min(need.relative_length, settings_.max_relative_length);
  if (engine.is_one_of_many && engine.has_idle_connection) {
    cost -= settings_.idle_connection_bonus;
  }
  if (!engine.is_same_region) cost += settings_.other_region_penalty;
  if (engine.id == need.preferred_engine) cost -= settings_.cached_prompt_bonus;
  return cost;
}

std::optional<std::size_t> EnginePlacement::Choose(
    const EngineRequirements& need,
    const std::vector<EngineView>& engines) const {
  const auto chosen = ChooseWithin(need, engines, true);
  const bool has_other = std::any_of(
      engines.begin(), engines.end(), [&](const EngineView& engine) {
        return IsEligible(need, engine) && !engine.paced.has_value();
      });
  if (chosen.has_value() || has_other) return chosen;
  return ChooseWithin(need, engines, false);
}

std::optional<std::size_t> EnginePlacement::ChooseWithin(
    const EngineRequirements& need, const std::vector<EngineView>& engines,
    bool has_slow_start) const {
  const Duration fastest = FastestOf(engines);
  const bool has_sound = std::any_of(
      engines.begin(), engines.end(), [&](const EngineView& engine) {
        return IsEligible(need, engine) && !IsSlow(engine, fastest);
      });
  std::optional<std::size_t> best;
  double best_cost = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const EngineView& engine = engines[i];
    if (!IsEligible(need, engine) || !HasRoom(need, engine)) continue;
    if (has_slow_start && !IsWithinSlowStart(engine)) continue;
    double cost = CostOf(need, engine, fastest);
    if (has_sound && IsSlow(engine, fastest)) {
      const bool is_trial =
          !engine.is_interval_fresh && engine.own_in_flight == 0;
      if (!is_trial) continue;
      cost += 1;
    }
    const bool is_nearer = best.has_value() && cost == best_cost &&
                           engine.is_one_of_many &&
                           engine.affinity > engines[*best].affinity;
    if (!best.has_value() || cost < best_cost || is_nearer) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

bool EnginePlacement::IsWorthMoving(
    std::size_t at, const EngineRequirements& need,
    const std::vector<EngineView>& engines) const {
  const Duration fastest = FastestOf(engines);
  if (!engines[at].is_interval_fresh || !IsSlow(engines[at], fastest)) {
    return false;
  }
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (i == at || IsSlow(engines[i], fastest)) continue;
    if (IsEligible(need, engines[i]) && HasRoom(need, engines[i]) &&
        IsWithinSlowStart(engines[i])) {
      return true;
    }
  }
  return false;
}

}  // namespace briarspread::batch
