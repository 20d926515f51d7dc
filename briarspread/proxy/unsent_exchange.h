#ifndef BRIARSPREAD_PROXY_UNSENT_EXCHANGE_H_
#define BRIARSPREAD_PROXY_UNSENT_EXCHANGE_H_

#include <asio/any_io_executor.hpp>
#include <asio/post.hpp>
#include <memory>

#include "briarspread/proxy/exchange.h"

namespace briarspread::proxy {

/// An exchange whose request is not sent. Its listener is told so from the
/// event loop. Not thread-safe: use it on the event loop's thread only.
class UnsentExchange final : public Exchange {
 public:
  /// Precondition: `listener` lives until the exchange has failed or is
  /// cancelled.
  UnsentExchange(const asio::any_io_executor& executor, ExchangeFault fault,
                 ExchangeListener& listener) {
    asio::post(executor, [fault, &listener, token = std::weak_ptr(token_)] {
      if (!token.expired()) listener.OnFailure({fault, Verdict::kNotRun});
    });
  }
  void Cancel() override { token_.reset(); }
  void SetPaused(bool) override {}

 private:
  /// Null once the exchange is cancelled.
  std::shared_ptr<char> token_ = std::make_shared<char>();
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_UNSENT_EXCHANGE_H_
