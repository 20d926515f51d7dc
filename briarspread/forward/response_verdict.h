#ifndef BRIARSPREAD_FORWARD_RESPONSE_VERDICT_H_
#define BRIARSPREAD_FORWARD_RESPONSE_VERDICT_H_

#include "briarspread/core/verdict.h"
#include "briarspread/forward/exchange_headers.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {

/// Returns what the head of an upstream's response says of its request:
/// - `kNotRun` if it states so by its header, whatever its status;
/// - `kMayHaveRun` if it does not, but callers would take its status for that
///   statement, so that it must not be passed on for a request that may run
///   only once;
/// - `kAnswered` otherwise.
/// Thread-safe.
inline Verdict VerdictOf(const proxy::ResponseHead& head,
                         const ExchangeHeaders& headers) {
  if (head.headers.Find(headers.not_run) != nullptr) return Verdict::kNotRun;
  return proxy::PromisesNotRun(head.status) ? Verdict::kMayHaveRun
                                            : Verdict::kAnswered;
}

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RESPONSE_VERDICT_H_
