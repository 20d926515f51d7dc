#include "briarspread/proxy/http_call.h"

#include <utility>

namespace briarspread::proxy {
namespace {

/// Buffers the response of one exchange. Holds a reference to itself until the
/// call has ended.
class BufferedCall final : public ExchangeListener,
                           public std::enable_shared_from_this<BufferedCall> {
 public:
  explicit BufferedCall(OnCallDone done) : done_(std::move(done)) {}

  void Start(ConnectionPool& pool, ExchangeRequest request) {
    self_ = shared_from_this();
    exchange_ = pool.Start(std::move(request), *this);
  }

  void Cancel() {
    if (self_ == nullptr) return;
    const auto self = std::exchange(self_, nullptr);
    exchange_->Cancel();
  }

  void OnHead(const ResponseHead& head) override { response_.head = head; }
  void OnBody(std::string_view data) override { response_.body.append(data); }
  void OnEnd() override { Finish(std::move(response_)); }
  void OnFailure(const ExchangeFailure& failure) override { Finish(failure); }

 private:
  void Finish(CallResult result) {
    const auto self = std::exchange(self_, nullptr);
    const auto done = std::exchange(done_, nullptr);
    done(std::move(result));
  }

  OnCallDone done_;
  Response response_;
  std::unique_ptr<Exchange> exchange_;
  std::shared_ptr<BufferedCall> self_;
};

}  // namespace

std::function<void()> StartCall(ConnectionPool& pool, ExchangeRequest request,
                                OnCallDone done) {
  const auto call = std::make_shared<BufferedCall>(std::move(done));
  call->Start(pool, std::move(request));
  return [weak = std::weak_ptr<BufferedCall>(call)] {
    if (const auto locked = weak.lock()) locked->Cancel();
  };
}

}  // namespace briarspread::proxy
