// Broken answers to the calls of the entry instance and of the clients: none is
// taken for a whole answer. They guard against reports of operators (MIXED).

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "briarspread/transport/http_upstream_client.h"
#include "tests/support/broken_answers.h"

namespace briarspread {
namespace {

using testing::kLongBodyBytes;
using testing::MakeAnswerWithName;
using testing::RawUpstream;

/// An upstream that sends given bytes, on a thread of its own.
class ThreadedUpstream {
 public:
  explicit ThreadedUpstream(std::deque<std::string> answers)
      : upstream_(loop_, std::move(answers)),
        thread_([this] { loop_.run(); }) {}
  ~ThreadedUpstream() {
    loop_.stop();
    thread_.join();
  }
  Endpoint endpoint() const { return upstream_.endpoint(); }

 private:
  asio::io_context loop_;
  RawUpstream upstream_;
  std::thread thread_;
};

/// Sends a request with a body of `body_bytes` to an upstream that sends
/// `answer`.
ExchangeOutcome Call(const std::string& answer, std::size_t body_bytes = 0) {
  ThreadedUpstream upstream({answer});
  HttpUpstreamClient client;
  UpstreamRequest request;
  request.endpoint = upstream.endpoint();
  request.path = "/";
  request.body.assign(body_bytes, 'b');
  request.timeout = milliseconds(5000);
  return client.Exchange(request, nullptr);
}

TEST_CASE("an answer that is reset is not whole") {
  for (const char end : {RawUpstream::kReset, RawUpstream::kResetLater}) {
    for (const std::size_t body_bytes : {std::size_t{0}, kLongBodyBytes}) {
      CAPTURE(end, body_bytes);
      const ExchangeOutcome outcome =
          Call("HTTP/1.1 200 OK\r\nX: y\r\n\r\nhalf" + std::string(1, end),
               body_bytes);
      CHECK(outcome.stage > ExchangeStage::kConnecting);
      CHECK(outcome.stage != ExchangeStage::kEnded);
    }
  }
}

TEST_CASE("an answer with an invalid status is not whole") {
  for (const char* status : {"000 Odd", "00", "099 X", "600 X", "0200 OK"}) {
    CAPTURE(status);
    const ExchangeOutcome outcome =
        Call("HTTP/1.1 " + std::string(status) +
             "\r\nContent-Length: 2\r\n\r\nno" + RawUpstream::kClose);
    CHECK(outcome.stage > ExchangeStage::kConnecting);
    CHECK(outcome.stage != ExchangeStage::kEnded);
  }
}

TEST_CASE("an answer with a blank or a control byte in a name is not whole") {
  for (const std::string& name : testing::MakeAllInvalidNames()) {
    CAPTURE(name);
    const ExchangeOutcome outcome =
        Call(MakeAnswerWithName("X: y\r\n", name, "no-more"));
    CHECK(outcome.stage > ExchangeStage::kConnecting);
    CHECK(outcome.stage != ExchangeStage::kEnded);
  }
}

}  // namespace
}  // namespace briarspread
