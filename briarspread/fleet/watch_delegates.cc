#include "briarspread/fleet/watch_delegates.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread {

std::vector<Endpoint> ChooseWatchDelegates(
    const std::map<InstanceId, InstanceRecord>& instances,
    const RegionId& region, const InstanceId& self) {
  constexpr char kWatchKey[] = "watch";
  constexpr std::size_t kMaxDelegates = 2;
  std::vector<std::pair<std::uint64_t, const InstanceRecord*>> order;
  for (const auto& [name, record] : instances) {
    if (record.locality.region != region || record.is_leaving) continue;
    order.emplace_back(StableHash(name.value(), StableHash(kWatchKey)),
                       &record);
  }
  const std::size_t n = std::min(kMaxDelegates, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n),
      order.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Endpoint> delegates;
  for (std::size_t i = 0; i < n && order[i].second->name != self; ++i) {
    delegates.push_back(order[i].second->peer_endpoint);
  }
  return delegates;
}

}  // namespace briarspread
