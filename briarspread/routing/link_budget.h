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

/// The link between this instance's region and another. Thread-safe.
struct Link {
  /// This instance's region.
  RegionId self;
  /// The other region.
  RegionId other;
  /// Bytes sent to the other region.
  TokenBucket outward;
  /// Bytes received from it.
  TokenBucket inward;
  /// Instances that share the link, at both ends; above zero.
  std::atomic<std::uint32_t> instances{1};
};

/// What one call carries over a link.
struct LinkVolume {
  /// Bytes sent to the other region.
  ByteCount outward;
  /// Bytes received from it.
  ByteCount inward;
};

/// Keeps the bytes over each link within the rules' budget: each instance
/// takes from its own equal share, so that the sum stays within the budget
/// without any message between them. Thread-safe.
class LinkBudget {
 public:
  /// How long unused budget adds up.
  static constexpr Duration kBurst = std::chrono::seconds(1);

  /// The link between two regions; the same object for the same pair.
  std::shared_ptr<Link> LinkBetween(const RegionId& self,
                                    const RegionId& other);

  /// Takes a call's bytes from both directions of `link`, or nothing where one
  /// of them has too few left. Never waits.
  static bool TryTake(Link& link, const LinkVolume& volume,
                      const RuleSet& rules, TimePoint now);

  /// Pays for the bytes that a call used beyond those that it took: they leave
  /// a debt that later calls wait for. So take the most that a call may use.
  static void Settle(Link& link, const LinkVolume& taken,
                     const LinkVolume& used, const RuleSet& rules,
                     TimePoint now);

 private:
  /// A pair of regions, in this order.
  struct Ends {
    RegionId self;
    RegionId other;
    friend auto operator<=>(const Ends&, const Ends&) = default;
  };

  /// Guards `links_`.
  std::mutex mutex_;
  /// All links asked for.
  std::map<Ends, std::shared_ptr<Link>> links_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_LINK_BUDGET_H_
