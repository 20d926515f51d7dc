#ifndef BRIARSPREAD_PROXY_EXCHANGE_H_
#define BRIARSPREAD_PROXY_EXCHANGE_H_

#include <string_view>

#include "briarspread/core/verdict.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Why an exchange ended without a complete response.
enum class ExchangeFault {
  /// No connection could be established; nothing was sent.
  kNotConnected,
  /// The connection was closed, or its peer was found unreachable, before the
  /// response was complete.
  kBroken,
  /// The received bytes are not a valid response, or are the response to
  /// another request.
  kGarbled,
  /// The exchange's timeout expired.
  kTimedOut,
  /// The request has text that may not stand in a head; nothing was sent.
  kInvalidRequest,
};

/// Returns the name of a fault as used in logs and metrics. Thread-safe.
std::string_view ToString(ExchangeFault fault);

/// How an exchange failed.
struct ExchangeFailure {
  ExchangeFault fault = ExchangeFault::kBroken;
  /// Whether the request may have run.
  Verdict verdict = Verdict::kMayHaveRun;
  /// Whether a reused connection failed before any byte of a response was
  /// received. This says little about the upstream's health: the upstream may
  /// have closed the connection because it was idle.
  bool was_reused_connection = false;
  /// Whether the connection was refused: no process listens at the address.
  bool was_refused = false;
  /// Whether another instance carried out the exchange.
  bool was_relayed = false;
};

/// Callbacks for the progress of one exchange. Called from the event loop,
/// never from within `ConnectionPool::Start` or `Exchange::Cancel`. No call
/// follows `OnEnd` or `OnFailure`.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(const ExchangeFailure& failure) = 0;
};

/// A request in flight at an upstream.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Closes the connection, so that the upstream aborts the request. The
  /// listener is not called again.
  virtual void Cancel() = 0;
  /// Pauses or resumes reading the response.
  virtual void SetPaused(bool is_paused) = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_EXCHANGE_H_
