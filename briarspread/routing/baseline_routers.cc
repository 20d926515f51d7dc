#include "briarspread/routing/baseline_routers.h"

namespace briarspread {

std::optional<std::size_t> RoundRobinRouter::Choose(const RouteRequest& request,
                                                    const RoutingTable& table,
                                                    const RuleSet& rules) {
  const std::size_t n = table.upstreams.size();
  if (n == 0) return std::nullopt;
  const std::uint64_t first = next_.fetch_add(1);
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t index = (first + i) % n;
    if (IsEligible(request, table.upstreams[index], rules)) return index;
  }
  return std::nullopt;
}

std::optional<std::size_t> LeastReportedLoadRouter::Choose(
    const RouteRequest& request, const RoutingTable& table,
    const RuleSet& rules) {
  std::optional<std::size_t> best;
  std::uint32_t least = 0;
  for (std::size_t i = 0; i < table.upstreams.size(); ++i) {
    const UpstreamView& upstream = table.upstreams[i];
    if (!IsEligible(request, upstream, rules)) continue;
    const std::uint32_t load = upstream.load.running + upstream.load.queued;
    if (!best.has_value() || load < least) {
      best = i;
      least = load;
    }
  }
  return best;
}

}  // namespace briarspread
