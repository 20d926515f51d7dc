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

/// The properties of a request that routing uses.
struct RouteRequest {
  /// The required kind of upstream.
  InstanceKind kind = InstanceKind::kModelEngine;
  /// The required model or service.
  std::string serves;
  RequestClass request_class;
  /// Hash of the prompt's prefix, for cache affinity; zero for no affinity.
  std::uint64_t prefix_hash = 0;
  /// Whether a trainer waits for the request. Such requests must leave the
  /// reserve to live callers.
  bool is_rollout = false;
  /// Maximum number of bytes that the request may send over the link between
  /// regions.
  ByteCount expected_bytes{0};
  /// Maximum number of bytes that the response may send back over the link.
  ByteCount expected_answer_bytes{0};
  /// The software version that the upstream must have; empty for any.
  SoftwareVersion software{};
  /// Whether the limits of slow starts are ignored, because the request would
  /// be refused otherwise.
  bool ignores_slow_start = false;
  /// Upstreams that must not be chosen, such as those already tried.
  std::vector<UpstreamId> excluded;
};

/// Chooses an upstream for each request.
class Router {
 public:
  virtual ~Router() = default;
  /// Returns the index in `table.upstreams` of the chosen upstream, or nothing
  /// if no upstream can be used. Thread-safe.
  virtual std::optional<std::size_t> Choose(const RouteRequest& request,
                                            const RoutingTable& table,
                                            const RuleSet& rules) = 0;
};

/// Picks the eligible upstream with the fewest of this instance's requests in
/// flight; a baseline for benchmarks. Thread-safe.
class FewestInFlightRouter final : public Router {
 public:
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;
};

/// Returns whether `upstream` may serve `request` under `rules`, without regard
/// to load, circuit breakers and quotas. Thread-safe.
bool IsEligible(const RouteRequest& request, const UpstreamView& upstream,
                const RuleSet& rules);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTER_H_
