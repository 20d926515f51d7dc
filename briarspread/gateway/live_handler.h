#ifndef BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_
#define BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_

#include <httplib.h>

#include "briarspread/admission/rate_limiter.h"
#include "briarspread/gateway/keyed_request_runner.h"
#include "briarspread/gateway/upstream_call.h"

namespace briarspread {

/// Serves requests of live callers: `POST /v1/completions`, and `GET`, `POST`,
/// `PUT` and `DELETE` under `/v1/services/{service}/`. Thread-safe.
class LiveHandler {
 public:
  /// Precondition: all arguments outlive this object.
  LiveHandler(const GatewayContext& context, UpstreamCaller& caller,
              KeyedRequestRunner& keyed, const PeerDirectory& peers);

  /// Registers the routes. Call before the server starts.
  void AddRoutes(httplib::Server& routes);

 private:
  void ServeCompletion(const httplib::Request& in, httplib::Response& out);
  void ServeService(const httplib::Request& in, httplib::Response& out);
  void Answer(CallSpec spec, const httplib::Request& in,
              httplib::Response& out);
  /// Runs a request whose response is not streamed. A non-idempotent request
  /// with an idempotency key runs at the home of its key.
  CallResult RunUnstreamed(const CallSpec& spec, const httplib::Request& in);
  KeyedRequest MakeKeyedRequest(const CallSpec& spec,
                                const httplib::Request& in) const;
  void AnswerStream(const CallSpec& call, const httplib::Request& in,
                    httplib::Response& out);
  /// Builds the call from the request's headers and the rules in force. Returns
  /// `kInvalidArgument` if the deadline header is malformed, and `kForbidden`
  /// if the rules deny the class access to `serves`.
  Result<CallSpec> MakeSpec(const httplib::Request& in, InstanceKind kind,
                            const std::string& serves) const;
  /// Responds with an error and returns true if the instance is draining or has
  /// no rules yet.
  bool RefuseIfNotReady(httplib::Response& out) const;

  /// Whether another instance forwarded the request, verified by its signature.
  bool IsForwarded(const httplib::Request& in) const;
  /// Applies the `limit` rule to a caller's request. Returns an empty permit
  /// for a forwarded request, which was counted at the instance that forwarded
  /// it.
  Result<RatePermit> AcquireRatePermit(const CallSpec& spec,
                                       const httplib::Request& in);
  /// Records the result of the request in its span and in the metrics.
  void RecordResult(const CallSpec& spec, const CallResult& result,
                    TimePoint start, Span& span);

  const GatewayContext context_;
  UpstreamCaller& caller_;
  KeyedRequestRunner& keyed_;
  const PeerDirectory& peers_;
  /// Enforces the rate limits of customers.
  RateLimiter limits_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_
