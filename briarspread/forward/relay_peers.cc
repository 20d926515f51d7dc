#include "briarspread/forward/relay_peers.h"

#include <algorithm>
#include <utility>

namespace briarspread::forward {

RelayPeers::RelayPeers(const RelayPeersSettings& settings, Locality self,
                       const Clock& clock, RandomSource& random,
                       ListFunction list)
    : settings_(settings),
      self_(std::move(self)),
      clock_(clock),
      random_(random),
      list_(std::move(list)) {}

std::size_t RelayPeers::DistanceTo(const RelayPeer& peer) const {
  if (peer.locality.zone == self_.zone) return 0;
  return peer.locality.region == self_.region ? 1 : 2;
}

RelayPeers::Distances RelayPeers::ListCandidates(
    const std::vector<Endpoint>& tried) const {
  Distances candidates;
  std::array<std::size_t, 3> tries{};
  const TimePoint now = clock_.Now();
  for (const RelayPeer& peer : list_()) {
    const std::size_t distance = DistanceTo(peer);
    if (std::find(tried.begin(), tried.end(), peer.endpoint) != tried.end()) {
      ++tries[distance];
      continue;
    }
    const auto it = states_.find(peer.endpoint);
    if (it != states_.end() && now < it->second.unusable_until) continue;
    candidates[distance].push_back(peer.endpoint);
  }
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (tries[i] >= settings_.tries_per_distance) candidates[i].clear();
  }
  return candidates;
}

std::size_t RelayPeers::InFlight(const Endpoint& peer) const {
  const auto it = states_.find(peer);
  return it == states_.end() ? 0 : it->second.in_flight;
}

Endpoint RelayPeers::ChooseLessLoaded(const std::vector<Endpoint>& candidates) {
  const Endpoint& a = candidates[random_.Next() % candidates.size()];
  const Endpoint& b = candidates[random_.Next() % candidates.size()];
  return InFlight(b) < InFlight(a) ? b : a;
}

std::optional<Endpoint> RelayPeers::Choose(const std::vector<Endpoint>& tried) {
  std::optional<Endpoint> least_loaded;
  for (const auto& candidates : ListCandidates(tried)) {
    if (candidates.empty()) continue;
    const Endpoint chosen = ChooseLessLoaded(candidates);
    if (InFlight(chosen) < settings_.max_in_flight) return chosen;
    if (!least_loaded.has_value() ||
        InFlight(chosen) < InFlight(*least_loaded)) {
      least_loaded = chosen;
    }
  }
  return least_loaded;
}

void RelayPeers::RecordEnd(const Endpoint& peer) {
  State& state = states_[peer];
  if (state.in_flight > 0) --state.in_flight;
}

void RelayPeers::RecordUsable(const Endpoint& peer) {
  State& state = states_[peer];
  state.unusable_until = TimePoint{};
  state.next_pause = milliseconds(0);
}

void RelayPeers::RecordUnusable(const Endpoint& peer) {
  State& state = states_[peer];
  const milliseconds pause =
      std::max(state.next_pause, settings_.initial_pause);
  state.unusable_until = clock_.Now() + pause;
  state.next_pause = std::min(2 * pause, settings_.max_pause);
}

}  // namespace briarspread::forward
