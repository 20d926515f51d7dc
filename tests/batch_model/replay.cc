#include "tests/batch_model/replay.h"

#include "tests/batch_model/replay_world.h"

namespace briarspread::testing {

ReplayPolicy FirstComeFirstServed() {
  ReplayPolicy policy;
  policy.name = "first-come";
  policy.orders_items = false;
  policy.places_items = false;
  policy.moves_items = false;
  policy.uses_version_planner = false;
  return policy;
}

ReplayPolicy EarlierVersion() {
  ReplayPolicy policy;
  policy.name = "earlier";
  policy.moves_items = false;
  policy.uses_version_planner = false;
  // That version's placement did not consider slow engines.
  policy.placement.slowness_penalty = 0;
  policy.placement.slow_ratio = 1e9;
  return policy;
}

double ReplayOutcome::in_time() const {
  return groups_wanted == 0 ? 0
                            : static_cast<double>(groups_in_time) /
                                  static_cast<double>(groups_wanted);
}

ReplayOutcome Replay(const ReplayLoad& load, const ReplayFleet& fleet,
                     const ReplayPolicy& policy) {
  return ReplayWorld(load, fleet, policy).Run();
}

}  // namespace briarspread::testing
