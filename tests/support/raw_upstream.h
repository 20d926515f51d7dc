#ifndef TESTS_SUPPORT_RAW_UPSTREAM_H_
#define TESTS_SUPPORT_RAW_UPSTREAM_H_

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "briarspread/core/upstream.h"

namespace briarspread::testing {

/// Test server that answers requests with the given bytes, one entry per
/// request over all connections. An entry that ends with `kClose` or `kReset`
/// ends the connection after the bytes before, one that ends with `kResetLater`
/// or `kCloseAndResetLater` once these bytes have arrived. Of a request it
/// reads the head and no more than came with it, so that a long body stays in
/// part unsent. Once the entries are used up, requests stay unanswered. Not
/// thread-safe.
class RawUpstream {
 public:
  static constexpr char kClose = '!';
  static constexpr char kReset = '^';
  static constexpr char kResetLater = '~';
  /// Ends the response with a regular close, and resets the connection then.
  static constexpr char kCloseAndResetLater = '|';

  RawUpstream(asio::io_context& loop, std::deque<std::string> answers)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        answers_(std::move(answers)) {
    // Connections inherit it; the system would hold megabytes otherwise.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(8192));
    Accept();
  }

  Endpoint endpoint() const {
    return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int connections() const { return connections_; }
  int requests() const { return requests_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buf{};
    std::string held;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket socket) {
          if (ec) return;
          ++connections_;
          Read(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buf),
        [this, connection](asio::error_code ec, std::size_t n) {
          if (ec) return;
          connection->held.append(connection->buf.data(), n);
          if (connection->held.find("\r\n\r\n") == std::string::npos) {
            Read(connection);
            return;
          }
          connection->held.clear();
          ++requests_;
          Answer(connection);
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    if (answers_.empty()) {
      Read(connection);
      return;
    }
    std::string bytes = answers_.front();
    answers_.pop_front();
    const char end = bytes.empty() ? '\0' : bytes.back();
    const bool ends = end == kClose || end == kReset || end == kResetLater ||
                      end == kCloseAndResetLater;
    if (ends) bytes.pop_back();
    asio::write(connection->socket, asio::buffer(bytes));
    if (!ends) {
      Read(connection);
    } else if (end == kClose || end == kReset) {
      End(*connection, end);
    } else {
      EndLater(connection, end);
    }
  }

  static void EndLater(const std::shared_ptr<Connection>& connection,
                       char end) {
    const auto timer = std::make_shared<asio::steady_timer>(
        connection->socket.get_executor(), std::chrono::milliseconds(20));
    timer->async_wait(
        [connection, timer, end](asio::error_code) { End(*connection, end); });
  }

  static void End(Connection& connection, char end) {
    if (end == kCloseAndResetLater) {
      connection.socket.shutdown(asio::socket_base::shutdown_send);
    }
    if (end != kClose) {
      connection.socket.set_option(asio::socket_base::linger(true, 0));
    }
    connection.socket.close();
  }

  asio::ip::tcp::acceptor acceptor_;
  std::deque<std::string> answers_;
  int connections_ = 0;
  int requests_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_RAW_UPSTREAM_H_
