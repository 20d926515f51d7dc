#include "briarspread/rollout/staleness_policy.h"

namespace briarspread {

bool StalenessPolicy::CanDeliver(WeightVersion oldest, WeightVersion newest,
                                 std::uint64_t bound) const {
  return !settings_.is_enforced || StalenessOf(oldest, newest) <= bound;
}

bool StalenessPolicy::IsWorthRunning(WeightVersion oldest, WeightVersion newest,
                                     std::uint64_t bound,
                                     std::uint64_t changes) const {
  if (!settings_.cancels_early) return true;
  return StalenessOf(oldest, newest) + changes <= bound;
}

}  // namespace briarspread
