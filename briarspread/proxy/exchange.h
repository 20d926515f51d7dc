#ifndef BRIARSPREAD_PROXY_EXCHANGE_H_
#define BRIARSPREAD_PROXY_EXCHANGE_H_

#include <string_view>

#include "briarspread/core/verdict.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Why an exchange ended without a whole response.
enum class ExchangeFault {
  /// No connection came about; nothing was sent.
  kNotConnected,
  /// The connection ended or fell silent before a whole response.
  kBroken,
  /// The bytes that came are no response, or one to another request.
  kGarbled,
  /// The time given has passed.
  kTimedOut,
};

/// The name of a fault in logs. Thread-safe.
std::string_view ToString(ExchangeFault fault);

/// How an exchange failed.
struct ExchangeFailure {
  ExchangeFault fault = ExchangeFault::kBroken;
  /// Whether the request may have run.
  Verdict verdict = Verdict::kMayHaveRun;
  /// Whether it failed on a kept connection before any byte of a response,
  /// which says little of the upstream: it may have closed an idle connection.
  bool was_kept_connection = false;
};

/// Hears of one exchange. Calls come from the loop, never from within `Start`
/// or `Cancel`; after an end or failure none follows.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(const ExchangeFailure& failure) = 0;
};

/// A request under way at an upstream.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Closes the connection, so that the upstream drops the request. The
  /// listener hears nothing more.
  virtual void Cancel() = 0;
  /// Stops and resumes reading the response.
  virtual void SetPaused(bool is_paused) = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_EXCHANGE_H_
