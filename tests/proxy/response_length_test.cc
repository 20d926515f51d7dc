// Whether the bytes of a response are those that its head announces.

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "briarspread/proxy/http_listener.h"
#include "tests/support/loop_runner.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::RunUntil;

/// Answers each request as soon as it has arrived.
class RespondingHandler final : public RequestHandler {
 public:
  explicit RespondingHandler(std::function<void(Responder&)> respond)
      : respond_(std::move(respond)) {}
  void OnRequest(Request, std::shared_ptr<Responder> responder) override {
    respond_(*responder);
  }

 private:
  const std::function<void(Responder&)> respond_;
};

/// Sends one request, answers it by `respond`, and returns all bytes until the
/// server closes the connection.
std::string RawAnswer(const std::string& request,
                      std::function<void(Responder&)> respond) {
  asio::io_context loop;
  RespondingHandler handler(std::move(respond));
  HttpListener listener(loop, handler);
  REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), listener.port()});
  asio::write(socket, asio::buffer(request));
  std::string got;
  std::array<char, 4096> buf{};
  bool is_closed = false;
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buf),
                           [&](asio::error_code ec, std::size_t n) {
                             got.append(buf.data(), n);
                             is_closed = static_cast<bool>(ec);
                             if (!ec) read();
                           });
  };
  read();
  REQUIRE(RunUntil(loop, [&] { return is_closed; }));
  return got;
}

ResponseHead HeadOf(int status, const std::string& length = "") {
  ResponseHead head;
  head.status = status;
  if (!length.empty()) head.headers.Add("Content-Length", length);
  return head;
}

// Guards against bytes after a response that has no body, which a caller would
// take for the next response.
TEST_CASE(
    "a response without a body that arrives in parts has no bytes of one") {
  for (const std::string method : {"HEAD", "GET"}) {
    for (const int status : {200, 204, 304}) {
      if (method == "GET" && status == 200) continue;
      const std::string got =
          RawAnswer(method + " / HTTP/1.1\r\nConnection: close\r\n\r\n",
                    [&](Responder& responder) {
                      responder.Start(HeadOf(status));
                      responder.Write("x");
                      responder.End();
                    });
      CAPTURE(method, status, got);
      REQUIRE(got.ends_with("\r\n\r\n"));
      REQUIRE(got.find("chunked") == std::string::npos);
      REQUIRE(got.find("0\r\n\r\n", got.find("\r\n\r\n")) == std::string::npos);
    }
  }
}

// Guards against a body that is longer or shorter than its head says, whoever
// wrote it (review/12).
TEST_CASE("a body that doesn't fit its length is visibly broken") {
  for (const std::string body : {"abc", "abcdefgh"}) {
    const std::string got =
        RawAnswer("GET / HTTP/1.1\r\n\r\n", [&](Responder& responder) {
          responder.Start(HeadOf(200, "5"));
          responder.Write(body);
          responder.End();
        });
    CAPTURE(got);
    // Closed before the announced end, so that the response is not complete.
    const auto end = got.find("\r\n\r\n");
    REQUIRE((end == std::string::npos || got.size() < end + 4 + 5));
  }
}

}  // namespace
}  // namespace briarspread::proxy
