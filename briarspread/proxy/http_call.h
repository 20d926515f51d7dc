#ifndef BRIARSPREAD_PROXY_HTTP_CALL_H_
#define BRIARSPREAD_PROXY_HTTP_CALL_H_

#include <functional>
#include <variant>

#include "briarspread/proxy/connection_pool.h"

namespace briarspread::proxy {

/// A whole response, or how the call failed.
using CallResult = std::variant<Response, ExchangeFailure>;
using OnCallDone = std::function<void(CallResult)>;

/// One call with a response that is taken whole. `done` is called once, from
/// the loop, unless the pool goes first. Precondition: `pool` outlives the
/// call. The returned function cancels the call; `done` is then not called.
std::function<void()> StartCall(ConnectionPool& pool, ExchangeOrder order,
                                OnCallDone done);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_CALL_H_
