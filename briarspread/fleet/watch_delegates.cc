#include "briarspread/fleet/watch_delegates.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

/// Further ones would lengthen the time until the store is asked.
constexpr std::size_t kMaxDelegates = 2;

}  // namespace

std::vector<Endpoint> ChooseWatchDelegates(
    const std::map<InstanceId, InstanceRecord>& instances,
    const RegionId& region, const InstanceId& self) {
  constexpr char kWatchKey[] = "watch";
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

std::vector<Endpoint> ChooseStartPeers(std::vector<Endpoint> seeds,
                                       const Endpoint& self,
                                       RandomSource& random) {
  std::erase(seeds, self);
  const std::size_t n = std::min(kMaxDelegates, seeds.size());
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(seeds[i], seeds[i + random.Below(seeds.size() - i)]);
  }
  seeds.resize(n);
  return seeds;
}

}  // namespace briarspread
