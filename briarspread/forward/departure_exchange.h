#ifndef BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/upstream_directory.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Settings of a departure exchange.
struct DepartureExchangeSettings {
  /// A departure is published after a random delay of up to this time for each
  /// peer, and `max_jitter` at most. Most instances then learn of a departure
  /// from one that saw it earlier, and need not publish it again.
  milliseconds jitter_per_peer{5};
  milliseconds max_jitter{1000};
  /// Number of peers that are queried after a start.
  std::size_t max_queried_peers = 2;
  /// Timeout of each query to a peer. A start waits for twice this time at
  /// most.
  milliseconds query_timeout{250};
};

/// Publishes to all instances which upstreams have announced that they are
/// leaving, and queries peers for known departures after a start. Sends nothing
/// while no upstream leaves, apart from that query. Must be used on the event
/// loop's thread only.
class DepartureExchange final {
 public:
  /// Returns the endpoints of the other instances.
  using PeerListFunction = std::function<std::vector<Endpoint>()>;

  static constexpr char kPath[] = "/v1/departures";

  /// Precondition: references outlive this object.
  DepartureExchange(asio::io_context& loop, UpstreamDirectory& directory,
                    PeerClient& peers, RandomSource& random,
                    PeerListFunction list_peers,
                    const DepartureExchangeSettings& settings);

  /// Queries peers for known departures the first time that there are peers.
  /// Must be called when the set of known instances changes.
  void OnInstancesChanged();
  /// Returns whether the initial query is over: the queried peers have
  /// responded or timed out, or no peer was known for twice `query_timeout`.
  bool is_initial_query_done() const { return is_initial_query_done_; }

  /// Handles a peer's request and returns true if its path is `kPath`;
  /// otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  void OnDeparture(const UpstreamStart& start);
  void Publish();
  void QueryPeers(const std::vector<Endpoint>& peers);
  void OnResponse(const Result<proxy::Response>& result);
  bool MergeStarts(const std::string& body);

  UpstreamDirectory& directory_;
  PeerClient& peers_;
  RandomSource& random_;
  const PeerListFunction list_peers_;
  const DepartureExchangeSettings settings_;
  LoopTimer publish_timer_;
  LoopTimer query_timer_;
  /// Departures announced to this instance that neither it nor another instance
  /// has published yet.
  std::vector<UpstreamStart> unpublished_;
  std::size_t outstanding_queries_ = 0;
  /// Whether any peer was queried.
  bool has_sent_queries_ = false;
  bool is_initial_query_done_ = false;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_
