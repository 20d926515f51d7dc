#ifndef TESTS_PLATFORM_STORE_STAND_IN_H_
#define TESTS_PLATFORM_STORE_STAND_IN_H_

#include <map>
#include <memory>
#include <string>

#include "briarspread/proxy/http_listener.h"
#include "tests/support/async_memory_store.h"

namespace briarspread::platform {

/// HTTP server on loopback that implements the platform's store protocol over
/// an in-memory store. Must be used on the event loop's thread only.
class StoreStandIn final : public proxy::RequestHandler {
 public:
  /// Listens on loopback. Port 0 chooses a free port.
  explicit StoreStandIn(asio::io_context& loop, std::uint16_t port = 0);

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override;

  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener_.port()}; }
  briarspread::testing::AsyncMemoryStore& memory() { return memory_; }
  /// Makes all calls fail with this HTTP status without effect. Zero ends that.
  void SetRefusalStatus(int status) { refusal_ = status; }
  void SetPageSize(std::size_t items) { page_size_ = items; }
  /// Sends all answers that are ready, such as those of watches.
  void Deliver() { memory_.Deliver(); }
  /// Expires leases that were not renewed within their time to live, then
  /// delivers. Leases granted before the first call count from that call.
  void Tick(TimePoint now);

 private:
  using ResponderPtr = std::shared_ptr<proxy::Responder>;

  void Read(const std::string& what, std::string_view query,
            const ResponderPtr& responder);
  void Commit(const std::string& body, const ResponderPtr& responder);

  /// A lease's time to live, and when it was last granted or renewed.
  struct LeaseState {
    milliseconds time_to_live{0};
    TimePoint renewed{};
  };

  briarspread::testing::AsyncMemoryStore memory_;
  std::map<StoreLeaseId, LeaseState> leases_;
  /// Time of the last `Tick`; the clock's epoch before the first.
  TimePoint now_{};
  proxy::HttpListener listener_;
  int refusal_ = 0;
  /// Items in one page of a listing. Small, so that tests exercise paging.
  std::size_t page_size_ = 2;
};

}  // namespace briarspread::platform

#endif  // TESTS_PLATFORM_STORE_STAND_IN_H_
