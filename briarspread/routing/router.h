#ifndef BRIARSPREAD_ROUTING_ROUTER_H_
#define BRIARSPREAD_ROUTING_ROUTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/routing/routing_table.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// What a request needs of an upstream.
struct RouteRequest {
  /// The kind of upstream.
  InstanceKind kind = InstanceKind::kModelEngine;
  /// The model or service.
  std::string serves;
  /// The request's class.
  RequestClass request_class;
  /// Hash of the prompt's prefix, for affinity; zero for none.
  std::uint64_t prefix_hash = 0;
  /// Whether a trainer waits for it, so that the reserve for live callers
  /// holds.
  bool is_rollout = false;
  /// Bytes that the call may carry over the link between regions.
  ByteCount expected_bytes{0};
  /// Bytes that the answer may carry back over the link.
  ByteCount expected_answer_bytes{0};
  /// Upstreams already tried, or otherwise not wanted.
  std::vector<UpstreamId> excluded;
};

/// Chooses an upstream for each request.
class Router {
 public:
  virtual ~Router() = default;
  /// The index in `table` of the chosen upstream, or nothing where none is
  /// fit. Safe to call from any thread.
  virtual std::optional<std::size_t> Choose(const RouteRequest& request,
                                            const RoutingTable& table,
                                            const RuleSet& rules) = 0;
};

/// Picks the upstream with the fewest own requests in flight; the baseline that
/// better routers are measured against.
class FewestInFlightRouter final : public Router {
 public:
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;
};

/// Whether `upstream` can serve `request` under `rules`, load aside.
/// Thread-safe.
bool IsEligible(const RouteRequest& request, const UpstreamView& upstream,
                const RuleSet& rules);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTER_H_
