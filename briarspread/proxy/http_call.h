#ifndef BRIARSPREAD_PROXY_HTTP_CALL_H_
#define BRIARSPREAD_PROXY_HTTP_CALL_H_

#include <functional>
#include <variant>

#include "briarspread/proxy/connection_pool.h"

namespace briarspread::proxy {

/// The complete response, or why the call failed.
using CallResult = std::variant<Response, ExchangeFailure>;
using OnCallDone = std::function<void(CallResult)>;

/// Starts an exchange and buffers its whole response. `done` is called once,
/// from the event loop, unless the call is cancelled or the pool is destroyed
/// first. Precondition: `pool` outlives the call. Returns a function that
/// cancels the call; `done` is not called after that.
std::function<void()> StartCall(ConnectionPool& pool, ExchangeRequest request,
                                OnCallDone done);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_CALL_H_
