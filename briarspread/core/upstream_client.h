#ifndef BRIARSPREAD_CORE_UPSTREAM_CLIENT_H_
#define BRIARSPREAD_CORE_UPSTREAM_CLIENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/header.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// An HTTP request to an upstream or to another instance.
struct UpstreamRequest {
  Endpoint endpoint;
  std::string method = "POST";
  /// Path and query of the target.
  std::string path;
  std::vector<Header> headers;
  std::string body;
  std::string content_type = "application/json";
  /// Maximum time to establish a connection.
  milliseconds connect_timeout{1000};
  /// Maximum time of the whole exchange.
  milliseconds timeout{30000};
  /// Whether an idle keep-alive connection may be used. False for calls that
  /// must not run twice: such a connection can close between the liveness check
  /// and the send, which leaves the outcome unknown.
  bool may_reuse_connection = true;
};

/// The last stage that an exchange reached before it ended.
enum class ExchangeStage {
  /// No connection was attempted.
  kBeforeConnect,
  /// The connection attempt failed.
  kConnecting,
  /// Some bytes of the request may have been sent.
  kSending,
  /// The request was sent; no response head arrived.
  kSent,
  /// The response head arrived, but not the whole response.
  kAnswering,
  /// The whole response arrived, as its length, its last chunk or, without
  /// either, a regular close shows.
  kEnded,
};

/// Outcome of an exchange.
struct ExchangeOutcome {
  ExchangeStage stage = ExchangeStage::kBeforeConnect;
  /// HTTP status of the response; zero before stage `kAnswering`.
  int status = 0;
  /// Headers of the response.
  std::vector<Header> headers;
  /// Body of the response, if no receiver was given.
  std::string body;
  /// Description of what ended the exchange early; empty otherwise.
  std::string failure;
  /// Whether the connection was refused, because no process listens at the
  /// address.
  bool refused = false;
  /// Whether the receiver cancelled the exchange.
  bool cancelled = false;
};

/// Returns the value of the first header called `name`, or an empty string.
/// Thread-safe.
std::string FindHeader(const std::vector<Header>& headers,
                       std::string_view name);

/// Callbacks that receive a response piece by piece.
class ResponseReceiver {
 public:
  virtual ~ResponseReceiver() = default;
  /// Called once, before any data. Returning false cancels the exchange.
  virtual bool OnHead(int status, const std::vector<Header>& headers) = 0;
  /// Called for each piece of the body. Returning false cancels the exchange.
  virtual bool OnData(std::string_view data) = 0;
};

/// Blocking HTTP client for upstreams and other instances. A connection whose
/// exchange ended early is closed and never reused, so that a late response
/// cannot be taken for that of a later request. Implementations are
/// thread-safe.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  /// Performs one exchange and blocks until it ends, at most for about
  /// `request.timeout`. `receiver` may be null; otherwise it receives the body.
  virtual ExchangeOutcome Exchange(const UpstreamRequest& request,
                                   ResponseReceiver* receiver) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_UPSTREAM_CLIENT_H_
