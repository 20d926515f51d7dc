#ifndef BRIARSPREAD_ROUTING_BASELINE_ROUTERS_H_
#define BRIARSPREAD_ROUTING_BASELINE_ROUTERS_H_

#include <atomic>
#include <cstdint>
#include <optional>

#include "briarspread/routing/router.h"

namespace briarspread {

/// Takes the eligible upstreams in turn; a baseline for benchmarks.
class RoundRobinRouter final : public Router {
 public:
  /// Starts at the `first`-th upstream.
  explicit RoundRobinRouter(std::uint64_t first = 0) : next_(first) {}
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;

 private:
  /// Where the next search begins.
  std::atomic<std::uint64_t> next_;
};

/// Picks the upstream whose last report shows the least load, without
/// correction; a baseline for benchmarks. Many instances that see the same
/// report all pick the same upstream until the next one.
class LeastReportedLoadRouter final : public Router {
 public:
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_BASELINE_ROUTERS_H_
