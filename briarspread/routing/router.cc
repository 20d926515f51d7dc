#include "briarspread/routing/router.h"

#include <algorithm>

namespace briarspread {

bool IsEligible(const RouteRequest& request, const UpstreamView& upstream,
                const RuleSet& rules) {
  const ListedInstance& listed = upstream.listed;
  if (listed.kind != request.kind || listed.serves != request.serves) {
    return false;
  }
  if (listed.state == ListedState::kLeaving) return false;
  const bool is_any_software = request.software.value().empty();
  if (!is_any_software && listed.software != request.software) return false;
  if (upstream.counters->refuses_work.load()) return false;
  // Compares the strings directly, because constructing an `UpstreamId` could
  // allocate memory.
  const auto is_drained = [&listed](const DrainRule& rule) {
    return rule.upstream.value() == listed.name;
  };
  if (std::any_of(rules.drains.begin(), rules.drains.end(), is_drained)) {
    return false;
  }
  const auto is_excluded = [&listed](const UpstreamId& id) {
    return id.value() == listed.name;
  };
  return std::none_of(request.excluded.begin(), request.excluded.end(),
                      is_excluded);
}

std::optional<std::size_t> FewestInFlightRouter::Choose(
    const RouteRequest& request, const RoutingTable& table,
    const RuleSet& rules) {
  std::optional<std::size_t> best;
  std::uint32_t fewest = 0;
  for (std::size_t i = 0; i < table.upstreams.size(); ++i) {
    const UpstreamView& upstream = table.upstreams[i];
    if (!IsEligible(request, upstream, rules)) continue;
    const std::uint32_t n = upstream.counters->in_flight.load();
    if (!best.has_value() || n < fewest) {
      best = i;
      fewest = n;
    }
  }
  return best;
}

}  // namespace briarspread
