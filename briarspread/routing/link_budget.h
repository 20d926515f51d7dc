#ifndef BRIARSPREAD_ROUTING_LINK_BUDGET_H_
#define BRIARSPREAD_ROUTING_LINK_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/token_bucket.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// The network link between this instance's region and another region.
/// Thread-safe.
struct Link {
  RegionId self;
  RegionId other;
  /// Budget of bytes sent to the other region.
  TokenBucket outbound;
  /// Budget of bytes received from the other region.
  TokenBucket inbound;
  /// Number of instances, at both ends, that share the budget of the link;
  /// above zero.
  std::atomic<std::uint32_t> instances{1};
};

/// Number of bytes that one call transfers over a link.
struct LinkVolume {
  /// Bytes sent to the other region.
  ByteCount outbound;
  /// Bytes received from the other region.
  ByteCount inbound;
};

/// Keeps the bytes transferred over each link within the budget that the rules
/// set. Each instance uses its own equal share, so that the sum stays within
/// the budget without communication between the instances. Thread-safe.
class LinkBudget {
 public:
  /// Maximum time for which unused budget accumulates.
  static constexpr Duration kBurst = std::chrono::seconds(1);

  /// Returns the link between two regions; always the same object for the same
  /// pair.
  std::shared_ptr<Link> LinkBetween(const RegionId& self,
                                    const RegionId& other);

  /// Takes the bytes of a call from the budgets of both directions of `link`.
  /// Returns false and takes nothing if either budget has too few bytes left.
  /// Does not block.
  static bool TryTake(Link& link, const LinkVolume& volume,
                      const RuleSet& rules, TimePoint now);

  /// Charges the bytes that a call used beyond those that it took. The budget
  /// becomes negative, and no later call can take bytes until it has refilled,
  /// so callers should take the maximum that a call may use.
  static void ChargeExcess(Link& link, const LinkVolume& taken,
                           const LinkVolume& used, const RuleSet& rules,
                           TimePoint now);

 private:
  /// An ordered pair of regions.
  struct RegionPair {
    RegionId self;
    RegionId other;
    friend auto operator<=>(const RegionPair&, const RegionPair&) = default;
  };

  /// Guards `links_`.
  std::mutex mutex_;
  /// All links that `LinkBetween` has created.
  std::map<RegionPair, std::shared_ptr<Link>> links_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_LINK_BUDGET_H_
