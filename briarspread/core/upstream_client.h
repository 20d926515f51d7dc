#ifndef BRIARSPREAD_CORE_UPSTREAM_CLIENT_H_
#define BRIARSPREAD_CORE_UPSTREAM_CLIENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// One HTTP header.
struct Header {
  /// Its name, compared without regard to case.
  std::string name;
  /// Its value.
  std::string value;
};

/// One call to an upstream, or to another instance.
struct UpstreamRequest {
  /// Whom to call.
  Endpoint endpoint;
  /// HTTP method.
  std::string method = "POST";
  /// Path and query.
  std::string path;
  /// Headers to send.
  std::vector<Header> headers;
  /// The body; sent with `content_type`.
  std::string body;
  std::string content_type = "application/json";
  /// How long to wait for a connection.
  milliseconds connect_timeout{1000};
  /// How long the whole exchange may take.
  milliseconds timeout{30000};
  /// Whether a kept connection may carry the call. Off for calls that must not
  /// run twice: a kept connection can die between the check and the send,
  /// which leaves the outcome unknown.
  bool may_reuse_connection = true;
};

/// How far an exchange got before it ended.
enum class ExchangeStage {
  /// No connection was tried.
  kBeforeConnect,
  /// The connection was tried and failed.
  kConnecting,
  /// Some bytes of the request may have been sent.
  kSending,
  /// The request was sent; no head of an answer arrived.
  kSent,
  /// The head of the answer arrived, its end did not.
  kAnswering,
  /// The whole answer arrived, by its length or its last chunk.
  kEnded,
};

/// What came of an exchange.
struct ExchangeOutcome {
  /// How far it got.
  ExchangeStage stage = ExchangeStage::kBeforeConnect;
  /// The answer's HTTP status; zero before `kAnswering`.
  int status = 0;
  /// The answer's headers.
  std::vector<Header> headers;
  /// The body, where no receiver took it.
  std::string body;
  /// What ended the exchange early, in words.
  std::string failure;
  /// Whether the address refused the connection: no process listens there.
  bool refused = false;
  /// Whether the receiver ended it.
  bool cancelled = false;
};

/// The first header called `name`, or an empty string. Thread-safe.
std::string FindHeader(const std::vector<Header>& headers,
                       std::string_view name);

/// Takes an answer piece by piece.
class ResponseReceiver {
 public:
  virtual ~ResponseReceiver() = default;
  /// Called once, before any data. Returning false cancels the exchange.
  virtual bool OnHead(int status, const std::vector<Header>& headers) = 0;
  /// Called for each piece of the body. Returning false cancels the exchange.
  virtual bool OnData(std::string_view data) = 0;
};

/// Calls upstreams. A connection whose exchange ended early is closed and
/// never carries another one, so that a late answer reaches nobody.
/// Implementations are safe to call from any thread.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  /// Performs one exchange and returns when it ended. With a `receiver`, it
  /// takes the body; it may be null. Blocks for at most about
  /// `request.timeout`.
  virtual ExchangeOutcome Exchange(const UpstreamRequest& request,
                                   ResponseReceiver* receiver) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_UPSTREAM_CLIENT_H_
