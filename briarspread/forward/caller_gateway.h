#ifndef BRIARSPREAD_FORWARD_CALLER_GATEWAY_H_
#define BRIARSPREAD_FORWARD_CALLER_GATEWAY_H_

#include <memory>

#include "briarspread/forward/forward_context.h"
#include "briarspread/forward/live_request.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Takes callers' requests and forwards each by its route. Loop's thread only.
class CallerGateway final {
 public:
  /// Precondition: `context` outlives this object and all requests.
  explicit CallerGateway(ForwardContext& context) : context_(context) {}

  /// The route of a request, or null; `has_configuration()` must be true.
  const Route* FindRoute(const proxy::Request& request) const;
  bool has_configuration() const {
    return context_.configuration.current() != nullptr;
  }
  /// Forwards a request by its route.
  void Forward(proxy::Request request, const Route& route,
               const std::shared_ptr<proxy::Responder>& responder);
  /// Answers that no configuration is known yet; the request did not run.
  void RefuseUnready(const proxy::Request& request,
                     proxy::Responder& responder);
  /// Answers that no route matches.
  void RefuseUnrouted(const proxy::Request& request,
                      proxy::Responder& responder);

 private:
  void LogRefusal(const proxy::Request& request, std::string_view reason);

  ForwardContext& context_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_CALLER_GATEWAY_H_
