#ifndef BRIARSPREAD_FORWARD_RELAY_HANDLER_H_
#define BRIARSPREAD_FORWARD_RELAY_HANDLER_H_

#include <memory>

#include "briarspread/forward/forward_context.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Relays requests of instances that have lost their links to upstreams. Always
/// sends them directly, so a request passes through one peer at most. Must be
/// used on the event loop's thread only.
class RelayHandler final {
 public:
  /// Precondition: `context` outlives this object and all relayed requests.
  explicit RelayHandler(ForwardContext& context);

  /// Handles a peer's request and returns true if its path is `kRelayPath`;
  /// otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);
  /// Number of requests that are being relayed.
  std::size_t in_flight() const { return *in_flight_; }

 private:
  void Relay(const proxy::Request& request,
             const std::shared_ptr<proxy::Responder>& responder);
  /// Responds for a request that was not sent, with `outcome` as the outcome.
  void RespondNotSent(proxy::Responder& responder, std::string_view outcome,
                      std::string_view reason);

  ForwardContext& context_;
  std::shared_ptr<std::size_t> in_flight_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RELAY_HANDLER_H_
