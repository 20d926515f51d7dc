#ifndef BRIARSPREAD_ROUTING_BASELINE_ROUTERS_H_
#define BRIARSPREAD_ROUTING_BASELINE_ROUTERS_H_

#include <atomic>
#include <cstdint>
#include <optional>

#include "briarspread/routing/router.h"

namespace briarspread {

/// Picks the eligible upstreams in round-robin order; a baseline for
/// benchmarks. Thread-safe.
class RoundRobinRouter final : public Router {
 public:
  /// The first search begins at index `first`, modulo the size of the table.
  explicit RoundRobinRouter(std::uint64_t first = 0) : next_(first) {}
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;

 private:
  /// Index at which the next search begins, modulo the size of the table.
  std::atomic<std::uint64_t> next_;
};

/// Picks the eligible upstream whose last report shows the fewest running and
/// queued requests, without adding the requests sent since; a baseline for
/// benchmarks. Instances that see the same report all pick the same upstream
/// until the next report arrives.
class LeastReportedLoadRouter final : public Router {
 public:
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_BASELINE_ROUTERS_H_
