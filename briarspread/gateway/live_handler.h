#ifndef BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_
#define BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_

#include <httplib.h>

#include "briarspread/admission/rate_limiter.h"
#include "briarspread/gateway/keyed_requests.h"
#include "briarspread/gateway/upstream_call.h"

namespace briarspread {

/// Serves live callers: `POST /v1/completions` and any method under
/// `/v1/services/{service}/`. Thread-safe.
class LiveHandler {
 public:
  /// Precondition: all arguments outlive this object.
  LiveHandler(const GatewayContext& context, UpstreamCaller& caller,
              KeyedRequests& keyed, const PeerDirectory& peers);

  /// Adds the routes. Call before the server starts.
  void AddRoutes(httplib::Server& routes);

 private:
  void ServeCompletion(const httplib::Request& in, httplib::Response& out);
  void ServeService(const httplib::Request& in, httplib::Response& out);
  void Answer(CallSpec spec, const httplib::Request& in,
              httplib::Response& out);
  /// Runs a request that is answered whole; one with a key, at its home.
  CallResult RunWhole(const CallSpec& spec, const httplib::Request& in);
  KeyedRequest MakeKeyed(const CallSpec& spec,
                         const httplib::Request& in) const;
  void AnswerStream(const CallSpec& call, const httplib::Request& in,
                    httplib::Response& out);
  /// Fills in class, deadline, idempotency and headers by the rules. The error
  /// names a header that cannot be read.
  Result<CallSpec> MakeSpec(const httplib::Request& in, InstanceKind kind,
                            const std::string& serves) const;
  /// Refuses at once where the instance cannot serve now.
  bool RefuseWhereUnready(httplib::Response& out) const;

  /// Whether another instance sent the request here, by its signature.
  bool IsForwarded(const httplib::Request& in) const;
  /// Admits a caller's request by the `limit` rule; one that another instance
  /// forwards was counted there.
  Result<RatePermit> EnterLimit(const CallSpec& spec,
                                const httplib::Request& in);
  /// Counts the request and ends its span.
  void Finish(const CallSpec& spec, const CallResult& result, TimePoint start,
              Span& span);

  const GatewayContext context_;
  UpstreamCaller& caller_;
  KeyedRequests& keyed_;
  const PeerDirectory& peers_;
  /// Holds customers to their limits.
  RateLimiter limits_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_
