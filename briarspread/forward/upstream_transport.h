#ifndef BRIARSPREAD_FORWARD_UPSTREAM_TRANSPORT_H_
#define BRIARSPREAD_FORWARD_UPSTREAM_TRANSPORT_H_

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/direct_paths.h"
#include "briarspread/forward/forward_metrics.h"
#include "briarspread/forward/relay_peers.h"
#include "briarspread/forward/upstream_directory.h"
#include "briarspread/proxy/connection_observer.h"
#include "briarspread/proxy/connection_pool.h"

namespace briarspread::forward {

/// Settings of `UpstreamTransport`.
struct UpstreamTransportSettings {
  DirectPathsSettings paths;
  /// Interval between trial connections while some upstreams cannot be
  /// connected to.
  milliseconds trial_interval{250};
};

/// Carries out exchanges with upstreams: directly, or through another instance
/// while this one has lost its links to them. Makes trial connections in the
/// background to find out when direct links work again. Must be used on the
/// event loop's thread only.
class UpstreamTransport final : public proxy::ConnectionObserver {
 public:
  /// Precondition: references outlive this object, and this object outlives all
  /// exchanges.
  UpstreamTransport(asio::io_context& loop, proxy::ConnectionPool& pool,
                    UpstreamDirectory& directory, ForwardMetrics& metrics,
                    const Clock& clock,
                    const UpstreamTransportSettings& settings);

  /// Allows exchanges through peers. Precondition: references outlive this
  /// object.
  void SetRelays(PeerClient& client, RelayPeers& peers);

  /// Starts an exchange with `upstream`, whose endpoint `request` names.
  /// Precondition: `listener` lives until the exchange ends, fails or is
  /// cancelled.
  std::unique_ptr<proxy::Exchange> Start(const UpstreamStart& upstream,
                                         proxy::ExchangeRequest request,
                                         proxy::ExchangeListener& listener);
  /// Records a failed exchange against the upstream's health, unless it may be
  /// this instance's links that failed.
  void RecordFailure(const UpstreamId& upstream,
                     const proxy::ExchangeFailure& failure);
  /// The pool for exchanges that must not pass through a peer.
  proxy::ConnectionPool& pool() { return pool_; }
  /// Whether this instance is known to have lost its links to upstreams.
  bool is_cut_off() const { return paths_.IsLost(); }

  void OnConnected(const Endpoint& to) override;
  void OnNotConnected(const Endpoint& to) override;
  void OnResponseHead(const Endpoint& from) override;

 private:
  bool ShouldRelay(const Endpoint& to) const;
  /// Starts an exchange that no peer relays: directly, or, if the links are
  /// known to be lost, one that fails at once.
  std::unique_ptr<proxy::Exchange> StartUnrelayed(
      proxy::ExchangeRequest request, proxy::ExchangeListener& listener);
  std::vector<TrialCandidate> ListCandidates() const;
  void ScheduleTrial(milliseconds delay);
  void Try();
  /// Logs a change of what is known about the links.
  void LogState();

  asio::io_context& loop_;
  proxy::ConnectionPool& pool_;
  UpstreamDirectory& directory_;
  ForwardMetrics& metrics_;
  const Clock& clock_;
  const UpstreamTransportSettings settings_;
  DirectPaths paths_;
  PeerClient* relay_client_ = nullptr;
  RelayPeers* relay_peers_ = nullptr;
  LoopTimer trial_timer_;
  /// The endpoint to which a trial connection is being made.
  std::optional<Endpoint> trial_;
  std::string_view logged_state_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_UPSTREAM_TRANSPORT_H_
