#ifndef BRIARSPREAD_FORWARD_CALLER_GATEWAY_H_
#define BRIARSPREAD_FORWARD_CALLER_GATEWAY_H_

#include <memory>
#include <optional>

#include "briarspread/forward/forward_context.h"
#include "briarspread/forward/live_request.h"
#include "briarspread/forward/request_authorizer.h"
#include "briarspread/forward/stop_schedule.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Accepts requests of callers and forwards each by the route that matches it.
/// Must be used on the event loop's thread only.
class CallerGateway final {
 public:
  /// Precondition: `context` outlives this object and all requests.
  explicit CallerGateway(ForwardContext& context) : context_(context) {}

  /// Returns the route that matches a request, or null. The pointer is valid
  /// until the configuration changes. Precondition: `has_configuration()`.
  const Route* FindRoute(const proxy::Request& request) const;
  bool has_configuration() const {
    return context_.configuration.current() != nullptr;
  }
  /// Returns whether a request on `route`, or without a route if it is null,
  /// may go on, and its client account. Precondition: `has_configuration()`.
  Authorization Authorize(const proxy::Request& request,
                          const Route* route) const;
  /// Begins a planned stop: from now on, requests that probably don't end
  /// before `end` are refused. Precondition: called once.
  void BeginStop(TimePoint end) { stop_.Begin(end); }
  /// Forwards a request of `account`, if it has one, to an upstream of `route`
  /// and sends the response, or a refusal, through `responder`.
  void Forward(proxy::Request request, const Route& route,
               const std::optional<accounts::Account>& account,
               const std::shared_ptr<proxy::Responder>& responder);
  /// Responds with status 503, for a request that arrives before the first
  /// configuration. The request did not run.
  void RefuseUnready(const proxy::Request& request,
                     proxy::Responder& responder);
  /// Responds with status 401, for a request whose key is missing or unknown.
  void RefuseUnauthorized(const proxy::Request& request,
                          proxy::Responder& responder);
  /// Responds with status 404, for a request that matches no route.
  void RefuseUnrouted(const proxy::Request& request,
                      proxy::Responder& responder);

 private:
  /// Whether a request is taken at this moment; see `StopSchedule`.
  bool CanTake(const LiveRequestSpec& spec) const;
  /// Responds with status 503, for a request that would be cut at the end of a
  /// planned stop. The request did not run.
  void RefuseStopping(const proxy::Request& request,
                      proxy::Responder& responder);
  void LogRefusal(const proxy::Request& request, std::string_view reason);

  ForwardContext& context_;
  StopSchedule stop_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_CALLER_GATEWAY_H_
