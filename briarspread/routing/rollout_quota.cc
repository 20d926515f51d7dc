#include "briarspread/routing/rollout_quota.h"

#include <cassert>

namespace briarspread {

std::uint32_t RolloutQuota(std::uint32_t slots, double reserve,
                           const InstanceShare& share,
                           std::uint64_t upstream_hash) {
  assert(reserve >= 0 && reserve <= 1);
  assert(share.count > 0 && share.rank < share.count);
  // Keeps rounding errors from turning 0.8 x 10 into 7.
  constexpr double kRounding = 1e-9;
  const auto open =
      static_cast<std::uint32_t>((1.0 - reserve) * slots + kRounding);
  const std::uint64_t rank = (share.rank + upstream_hash) % share.count;
  const bool has_odd_one = rank < open % share.count;
  return open / share.count + (has_odd_one ? 1 : 0);
}

}  // namespace briarspread
