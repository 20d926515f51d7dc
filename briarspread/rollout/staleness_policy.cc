#include "briarspread/rollout/staleness_policy.h"

namespace briarspread {

bool StalenessPolicy::MayDeliver(WeightVersion oldest, WeightVersion newest,
                                 std::uint64_t bound) const {
  return !settings_.is_enforced || StalenessOf(oldest, newest) <= bound;
}

bool StalenessPolicy::IsWorthRunning(WeightVersion oldest, WeightVersion newest,
                                     std::uint64_t bound, Duration left,
                                     Duration version_interval) const {
  if (!settings_.cuts_early) return true;
  // Whole intervals only: the next change may have just happened, and work
  // that may still be in time is not thrown away.
  const std::uint64_t changes =
      version_interval > Duration::zero() && left > Duration::zero()
          ? static_cast<std::uint64_t>(left / version_interval)
          : 0;
  return StalenessOf(oldest, newest) + changes <= bound;
}

}  // namespace briarspread
