#ifndef BRIARSPREAD_FORWARD_RELAY_PEERS_H_
#define BRIARSPREAD_FORWARD_RELAY_PEERS_H_

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/upstream.h"

namespace briarspread::forward {

/// Another instance that may relay requests to upstreams.
struct RelayPeer {
  Endpoint endpoint;
  Locality locality;
};

/// Settings of `RelayPeers`.
struct RelayPeersSettings {
  /// Time for which a peer that could not relay gets no further requests;
  /// doubled by each further failure, up to `max_pause`.
  milliseconds initial_pause{500};
  milliseconds max_pause{4000};
  /// Number of peers of one zone, region or elsewhere that one request tries.
  std::size_t tries_per_distance = 2;
  /// Number of own requests in flight at a peer from which on a peer farther
  /// away is preferred.
  std::size_t max_in_flight = 24;
};

/// Chooses the peers that relay this instance's requests: near ones first, of
/// these the less loaded of two random ones. Not thread-safe.
class RelayPeers final {
 public:
  using ListFunction = std::function<std::vector<RelayPeer>()>;

  /// Precondition: references outlive this object.
  RelayPeers(const RelayPeersSettings& settings, Locality self,
             const Clock& clock, RandomSource& random, ListFunction list);

  /// Returns a peer that is not in `tried`; nothing if no other peer is
  /// expected to relay or the request has tried enough of them.
  std::optional<Endpoint> Choose(const std::vector<Endpoint>& tried);
  /// Records that a request is in flight at a peer, and that it has ended.
  void RecordStart(const Endpoint& peer) { ++states_[peer].in_flight; }
  void RecordEnd(const Endpoint& peer);
  /// Records whether a peer could relay a request.
  void RecordUsable(const Endpoint& peer);
  void RecordUnusable(const Endpoint& peer);

 private:
  struct State {
    std::size_t in_flight = 0;
    TimePoint unusable_until{};
    milliseconds next_pause{0};
  };
  /// Candidates by distance: the same zone, the same region, elsewhere.
  using Distances = std::array<std::vector<Endpoint>, 3>;

  std::size_t DistanceTo(const RelayPeer& peer) const;
  Distances ListCandidates(const std::vector<Endpoint>& tried) const;
  Endpoint ChooseLessLoaded(const std::vector<Endpoint>& candidates);
  std::size_t InFlight(const Endpoint& peer) const;

  const RelayPeersSettings settings_;
  const Locality self_;
  const Clock& clock_;
  RandomSource& random_;
  const ListFunction list_;
  std::map<Endpoint, State> states_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RELAY_PEERS_H_
