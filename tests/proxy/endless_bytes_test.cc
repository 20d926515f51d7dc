// Upstreams that send invalid bytes without end, until the caller closes the
// connection. Without limits on size and time they would occupy memory and a
// connection forever.
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "briarspread/proxy/connection_pool.h"
#include "briarspread/proxy/event_stream_reader.h"
#include "briarspread/proxy/http_call.h"
#include "tests/support/loop_runner.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::RunUntil;

/// Test server that sends `begin`, then `piece` repeatedly with `pause` in
/// between, until the caller closes the connection.
class EndlessUpstream {
 public:
  EndlessUpstream(asio::io_context& loop, std::string begin, std::string piece,
                  milliseconds pause = milliseconds(0))
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        begin_(std::move(begin)),
        piece_(std::move(piece)),
        pause_(pause) {
    Accept();
  }

  Endpoint endpoint() const {
    return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int connections() const { return connections_; }
  /// Number of connections closed by the caller.
  int closed() const { return closed_; }
  std::size_t sent() const { return sent_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket s)
        : socket(std::move(s)), timer(socket.get_executor()) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> buf{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket socket) {
          if (ec) return;
          ++connections_;
          Read(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }

  void Read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buf),
        [this, connection](asio::error_code ec, std::size_t) {
          if (!ec) Write(connection, begin_);
        });
  }

  void Write(const ConnectionPtr& connection, const std::string& bytes) {
    asio::async_write(connection->socket, asio::buffer(bytes),
                      [this, connection](asio::error_code ec, std::size_t n) {
                        sent_ += n;
                        if (ec) {
                          ++closed_;
                          return;
                        }
                        Pause(connection);
                      });
  }

  void Pause(const ConnectionPtr& connection) {
    connection->timer.expires_after(pause_);
    connection->timer.async_wait([this, connection](asio::error_code ec) {
      if (!ec) Write(connection, piece_);
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  const std::string begin_;
  const std::string piece_;
  const milliseconds pause_;
  int connections_ = 0;
  int closed_ = 0;
  std::size_t sent_ = 0;
};

/// A pool with small size limits, and calls on it.
struct Caller {
  explicit Caller(asio::io_context& io) : loop(io), pool(io, Settings()) {}

  static UpstreamConnectionSettings Settings() {
    UpstreamConnectionSettings settings;
    settings.limits.max_head_bytes = 4096;
    settings.limits.max_body_bytes = std::size_t{256} * 1024;
    return settings;
  }

  void Start(const Endpoint& to, std::optional<CallResult>& result,
             milliseconds timeout = milliseconds(0)) {
    ExchangeRequest request;
    request.to = to;
    request.timeout = timeout;
    request.bytes = RequestBytes::Parse("GET / HTTP/1.1\r\n\r\n");
    request.echo_name = "X-Id";
    request.echo_value = "id-" + std::to_string(++calls);
    StartCall(pool, std::move(request),
              [&result](CallResult got) { result = std::move(got); });
  }

  ExchangeFailure AwaitFailure(const std::optional<CallResult>& result) {
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    REQUIRE(std::holds_alternative<ExchangeFailure>(*result));
    return std::get<ExchangeFailure>(*result);
  }

  asio::io_context& loop;
  ConnectionPool pool;
  int calls = 0;
};

struct EndlessCase {
  const char* name;
  std::string begin;
  std::string piece;
};

std::vector<EndlessCase> EndlessCases() {
  const std::string kilobyte(1024, 'x');
  const std::string status = "HTTP/1.1 200 OK\r\n";
  return {
      {"no status line", "", kilobyte},
      {"empty lines", "", "\r\n\r\n\r\n\r\n"},
      {"an endless reason phrase", "HTTP/1.1 200 ", kilobyte},
      {"header lines", status, "X-Line: " + kilobyte + "\r\n"},
      {"one header line", status + "X-Line: ", kilobyte},
      {"a header name", status, kilobyte},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a body without length", status + "\r\n", kilobyte},
      {"a body above the size limit",
       status + "Content-Length: 99999999999\r\n\r\n", kilobyte},
      {"chunks", status + "Transfer-Encoding: chunked\r\n\r\n",
       "400\r\n" + kilobyte + "\r\n"},
      {"a chunk's extension", status + "Transfer-Encoding: chunked\r\n\r\n4;",
       kilobyte},
      {"trailers", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Line: " + kilobyte + "\r\n"},
  };
}

TEST_CASE("an endless fast response is aborted at a size limit") {
  for (const EndlessCase& each : EndlessCases()) {
    INFO(each.name);
    asio::io_context loop;
    EndlessUpstream upstream(loop, each.begin, each.piece);
    EndlessUpstream healthy(
        loop, "HTTP/1.1 200 OK\r\nX-Id: id-2\r\nContent-Length: 2\r\n\r\nok",
        "", seconds(3600));
    Caller caller(loop);
    std::optional<CallResult> result;
    std::optional<CallResult> other;
    caller.Start(upstream.endpoint(), result);
    caller.Start(healthy.endpoint(), other);
    const ExchangeFailure failure = caller.AwaitFailure(result);
    REQUIRE(failure.fault == ExchangeFault::kGarbled);
    REQUIRE(failure.verdict == Verdict::kMayHaveRun);
    // The connection is closed and not reused.
    REQUIRE(RunUntil(loop, [&] { return upstream.closed() == 1; }));
    // Another exchange on the same event loop gets its response.
    REQUIRE(RunUntil(loop, [&] { return other.has_value(); }));
    REQUIRE(std::get<Response>(*other).body == "ok");
  }
}

TEST_CASE("an endless slow response is aborted at the latest by its timeout") {
  for (const EndlessCase& each : EndlessCases()) {
    INFO(each.name);
    asio::io_context loop;
    EndlessUpstream upstream(loop, each.begin, each.piece.substr(0, 1),
                             milliseconds(5));
    Caller caller(loop);
    std::optional<CallResult> result;
    caller.Start(upstream.endpoint(), result, milliseconds(120));
    const ExchangeFailure failure = caller.AwaitFailure(result);
    const bool is_cut = failure.fault == ExchangeFault::kTimedOut ||
                        failure.fault == ExchangeFault::kGarbled;
    REQUIRE(is_cut);
    REQUIRE(failure.verdict == Verdict::kMayHaveRun);
    REQUIRE(RunUntil(loop, [&] { return upstream.closed() == 1; }));
  }
}

// Guards against the report of machines that ran out of memory by answers
// without end: 32 MB of an order's or a report's answer were kept.
TEST_CASE("an exchange may limit its response's body further") {
  for (const EndlessCase& each : EndlessCases()) {
    if (each.name != std::string("chunks") &&
        each.name != std::string("a body without length")) {
      continue;
    }
    INFO(each.name);
    asio::io_context loop;
    EndlessUpstream upstream(loop, each.begin, each.piece);
    ConnectionPool pool(loop, UpstreamConnectionSettings{});
    std::optional<CallResult> result;
    ExchangeRequest request;
    request.to = upstream.endpoint();
    request.bytes = RequestBytes::Parse("GET / HTTP/1.1\r\n\r\n");
    request.max_body_bytes = std::size_t{64} * 1024;
    StartCall(pool, std::move(request),
              [&result](CallResult got) { result = std::move(got); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    REQUIRE(std::get<ExchangeFailure>(*result).fault ==
            ExchangeFault::kGarbled);
    REQUIRE(RunUntil(loop, [&] { return upstream.closed() == 1; }));
    // What is beyond the limit is in the sockets' buffers.
    REQUIRE(upstream.sent() < std::size_t{16} * 1024 * 1024);
  }
}

TEST_CASE("bytes between two responses close the connection") {
  asio::io_context loop;
  EndlessUpstream upstream(
      loop, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nContent-Length: 2\r\n\r\nok", "z",
      milliseconds(5));
  Caller caller(loop);
  std::optional<CallResult> result;
  caller.Start(upstream.endpoint(), result);
  REQUIRE(RunUntil(loop, [&] { return upstream.closed() == 1; }));
  REQUIRE(std::get<Response>(*result).body == "ok");
  REQUIRE(caller.pool.open_count() == 0);
}

TEST_CASE("an oversized event is not returned and stops the reader") {
  for (const std::string piece : {"x", "data: x\n", ": comment\n"}) {
    EventStreamReader reader("");
    std::size_t fed = 0;
    while (!reader.is_overlong() &&
           fed < 4 * EventStreamReader::kMaxEventBytes) {
      std::string bytes;
      while (bytes.size() < 4096) bytes += piece;
      REQUIRE(reader.Feed(bytes).empty());
      fed += bytes.size();
    }
    REQUIRE(reader.is_overlong());
    REQUIRE(reader.Feed("data: y\n\n").empty());
    reader.Reset();
    REQUIRE(reader.Feed("data: y\n\n").size() == 1);
  }
}

TEST_CASE("the size limit applies to each event, not to the whole stream") {
  EventStreamReader reader("");
  const std::string event = "data: " + std::string(60000, 'x') + "\n\n";
  for (int i = 0; i < 40; ++i) REQUIRE(reader.Feed(event).size() == 1);
  REQUIRE_FALSE(reader.is_overlong());
}

}  // namespace
}  // namespace briarspread::proxy
