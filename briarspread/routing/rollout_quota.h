#ifndef BRIARSPREAD_ROUTING_ROLLOUT_QUOTA_H_
#define BRIARSPREAD_ROUTING_ROLLOUT_QUOTA_H_

#include <cstdint>

#include "briarspread/routing/routing_table.h"

namespace briarspread {

/// Returns how many rollouts this instance may have in flight at one upstream,
/// so that all instances together leave the fraction `reserve` of its `slots`
/// to live callers. The quotas of all ranks add up to exactly the remaining
/// slots. Which ranks get the slots left over by the integer division depends
/// on the upstream, so that no instance is without a slot at every upstream.
///
/// Preconditions: 0 <= `reserve` <= 1, and `share.rank` < `share.count`.
/// Thread-safe.
std::uint32_t RolloutQuota(std::uint32_t slots, double reserve,
                           const InstanceShare& share,
                           std::uint64_t upstream_hash);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROLLOUT_QUOTA_H_
