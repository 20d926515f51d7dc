// Upstreams that answer before they have read the whole request.
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/proxy/connection_pool.h"
#include "briarspread/proxy/http_call.h"
#include "tests/support/loop_runner.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::RunUntil;

/// An upstream that answers each request as soon as its first bytes are there,
/// keeps the connection, and reads on when it is told to.
class EarlyUpstream {
 public:
  explicit EarlyUpstream(asio::io_context& loop)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  Endpoint endpoint() const {
    return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  /// Reads the first connection on, until its end.
  void ReadOn() { Read(connections_.front()); }
  /// What arrived on the first connection.
  const std::string& received() const { return connections_.front()->received; }
  bool has_ended() const { return connections_.front()->has_ended; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 65536> buf{};
    std::string received;
    bool has_answered = false;
    bool has_ended = false;
  };

  void Accept() {
    acceptor_.async_accept([this](asio::error_code ec,
                                  asio::ip::tcp::socket socket) {
      if (ec) return;
      connections_.push_back(std::make_shared<Connection>(std::move(socket)));
      Read(connections_.back());
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buf),
        [this, connection](asio::error_code ec, std::size_t n) {
          if (ec) {
            connection->has_ended = true;
            return;
          }
          connection->received.append(connection->buf.data(), n);
          if (connection->has_answered) {
            Read(connection);
            return;
          }
          connection->has_answered = true;
          asio::write(connection->socket,
                      asio::buffer(std::string(
                          "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")));
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

// Guards against the failure of review/4 (UNASKED): the next request was
// written where the rest of a long body was due, and the body from freed
// memory.
TEST_CASE("nothing but the rest of its body follows a request on the wire") {
  asio::io_context loop;
  EarlyUpstream upstream(loop);
  ConnectionPool pool(loop, {});
  std::size_t answers = 0;
  const auto call = [&](const std::string& target, std::size_t body_bytes) {
    ExchangeRequest request;
    request.to = upstream.endpoint();
    RequestHead head;
    head.method = "POST";
    head.target = target;
    request.bytes = RequestBytes::Make(head, std::string(body_bytes, 'b'));
    const std::size_t before = answers;
    StartCall(pool, std::move(request), [&](const CallResult&) { ++answers; });
    return before + 1;
  };
  const std::size_t first = call("/first", std::size_t{12} * 1024 * 1024);
  REQUIRE(RunUntil(loop, [&] { return answers == first; }));
  call("/second", 10);
  upstream.ReadOn();
  const auto has_second = [&] {
    return upstream.received().find("/second") != std::string::npos;
  };
  REQUIRE(RunUntil(loop, [&] { return upstream.has_ended() || has_second(); }));
  REQUIRE_FALSE(has_second());
  const std::size_t body = upstream.received().find("\r\n\r\n") + 4;
  REQUIRE(upstream.received().find_first_not_of('b', body) ==
          std::string::npos);
}

}  // namespace
}  // namespace briarspread::proxy
