#ifndef TESTS_PLATFORM_STORE_STAND_IN_H_
#define TESTS_PLATFORM_STORE_STAND_IN_H_

#include <memory>
#include <string>

#include "briarspread/proxy/http_listener.h"
#include "tests/support/async_memory_store.h"

namespace briarspread::platform {

/// The platform's store on loopback, over a store in memory.
class StoreStandIn final : public proxy::RequestHandler {
 public:
  explicit StoreStandIn(asio::io_context& loop);

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override;

  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener_.port()}; }
  briarspread::testing::AsyncMemoryStore& memory() { return memory_; }
  /// Answers all calls with this status, and does nothing; zero for none.
  void SetRefusal(int status) { refusal_ = status; }
  /// Gives answers that became ready, such as those of watches.
  void Deliver() { memory_.Deliver(); }

 private:
  using ResponderPtr = std::shared_ptr<proxy::Responder>;

  void Read(const std::string& what, std::string_view query,
            const ResponderPtr& responder);
  void Commit(const std::string& body, const ResponderPtr& responder);

  briarspread::testing::AsyncMemoryStore memory_;
  proxy::HttpListener listener_;
  int refusal_ = 0;
};

}  // namespace briarspread::platform

#endif  // TESTS_PLATFORM_STORE_STAND_IN_H_
