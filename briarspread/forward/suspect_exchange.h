#ifndef BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/crash_guard.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Settings of a suspect exchange.
struct SuspectExchangeSettings {
  /// Delay before a crash is published; crashes detected within it are sent
  /// together.
  milliseconds delay{50};
};

/// Publishes crashes of upstreams, and the requests that were in flight there,
/// to all instances. Sends nothing while no upstream crashes. Must be used on
/// the event loop's thread only.
class SuspectExchange final {
 public:
  /// Returns the endpoints of the other instances.
  using PeerListFunction = std::function<std::vector<Endpoint>()>;

  static constexpr char kPath[] = "/v1/suspects";

  /// Precondition: references outlive this object.
  SuspectExchange(asio::io_context& loop, CrashGuard& guard, PeerClient& peers,
                  PeerListFunction list_peers,
                  const SuspectExchangeSettings& settings);

  /// Handles a peer's request and returns true if its path is `kPath`;
  /// otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  void Publish();

  CrashGuard& guard_;
  PeerClient& peers_;
  const PeerListFunction list_peers_;
  const SuspectExchangeSettings settings_;
  LoopTimer timer_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_
