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

/// Settings of the exchange.
struct SuspectExchangeSettings {
  /// Deaths noticed within this time are told together.
  milliseconds gather{50};
};

/// Tells all instances of upstreams' deaths and the requests that were there.
/// Nothing is sent while no upstream dies. Loop's thread only.
class SuspectExchange final {
 public:
  /// The instances to tell.
  using Listeners = std::function<std::vector<Endpoint>()>;

  static constexpr char kPath[] = "/v1/suspects";

  /// Precondition: references outlive this object.
  SuspectExchange(asio::io_context& loop, CrashGuard& guard, PeerClient& peers,
                  Listeners listeners, const SuspectExchangeSettings& settings);

  /// Takes a peer's call; false where it is none of this exchange.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  void Tell();

  CrashGuard& guard_;
  PeerClient& peers_;
  const Listeners listeners_;
  const SuspectExchangeSettings settings_;
  LoopTimer timer_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_
