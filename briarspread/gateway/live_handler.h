#ifndef BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_
#define BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_

#include <httplib.h>

#include "briarspread/gateway/upstream_call.h"

namespace briarspread {

/// Serves live callers: `POST /v1/completions` and any method under
/// `/v1/services/{service}/`. Thread-safe.
class LiveHandler {
 public:
  /// Precondition: all arguments outlive this object.
  LiveHandler(const GatewayContext& context, UpstreamCaller& caller);

  /// Adds the routes. Call before the server starts.
  void AddRoutes(httplib::Server& routes);

 private:
  void ServeCompletion(const httplib::Request& in, httplib::Response& out);
  void ServeService(const httplib::Request& in, httplib::Response& out);
  void Answer(CallSpec spec, httplib::Response& out);
  void AnswerStream(const CallSpec& call, httplib::Response& out);
  /// Fills in class, deadline, idempotency and headers by the rules. The error
  /// names a header that cannot be read.
  Result<CallSpec> MakeSpec(const httplib::Request& in, InstanceKind kind,
                            const std::string& serves) const;
  /// Refuses at once where the instance cannot serve now.
  bool RefuseWhereUnready(httplib::Response& out) const;

  /// Counts the request and ends its span.
  void Finish(const CallSpec& spec, const CallResult& result, TimePoint start,
              Span& span);

  const GatewayContext context_;
  UpstreamCaller& caller_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_LIVE_HANDLER_H_
