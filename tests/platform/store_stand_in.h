#ifndef TESTS_PLATFORM_STORE_STAND_IN_H_
#define TESTS_PLATFORM_STORE_STAND_IN_H_

#include <map>
#include <memory>
#include <string>

#include "briarspread/proxy/http_listener.h"
#include "tests/support/async_memory_store.h"

namespace briarspread::platform {

/// The platform's store on loopback, over a store in memory.
class StoreStandIn final : public proxy::RequestHandler {
 public:
  /// Listens on loopback; port 0 takes a free one.
  explicit StoreStandIn(asio::io_context& loop, std::uint16_t port = 0);

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override;

  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener_.port()}; }
  briarspread::testing::AsyncMemoryStore& memory() { return memory_; }
  /// Answers all calls with this status, and does nothing; zero for none.
  void SetRefusal(int status) { refusal_ = status; }
  void SetPageSize(std::size_t items) { page_size_ = items; }
  /// Gives answers that became ready, such as those of watches.
  void Deliver() { memory_.Deliver(); }
  /// Delivers, and ends leases that were not renewed within their time, which
  /// is counted from the first call of this.
  void Tick(TimePoint now);

 private:
  using ResponderPtr = std::shared_ptr<proxy::Responder>;

  void Read(const std::string& what, std::string_view query,
            const ResponderPtr& responder);
  void Commit(const std::string& body, const ResponderPtr& responder);

  /// A lease's time, and when it was granted or renewed last.
  struct LeaseTime {
    milliseconds time_to_live{0};
    TimePoint renewed{};
  };

  briarspread::testing::AsyncMemoryStore memory_;
  std::map<StoreLeaseId, LeaseTime> lease_times_;
  /// The time of the last tick; the clock's zero while there is none.
  TimePoint now_{};
  proxy::HttpListener listener_;
  int refusal_ = 0;
  /// Two, so that paging is met.
  std::size_t page_size_ = 2;
};

}  // namespace briarspread::platform

#endif  // TESTS_PLATFORM_STORE_STAND_IN_H_
