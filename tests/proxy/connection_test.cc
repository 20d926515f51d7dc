#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>

#include "briarspread/proxy/connection_pool.h"
#include "briarspread/proxy/http_call.h"
#include "briarspread/proxy/http_listener.h"
#include "tests/support/loop_runner.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::RunUntil;

/// Answers each connection's requests with given bytes, one entry a request; an
/// empty entry closes the connection, a missing one stays silent.
class RawUpstream {
 public:
  RawUpstream(asio::io_context& loop, std::deque<std::string> answers)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        answers_(std::move(answers)) {
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
    const std::string bytes = answers_.front();
    answers_.pop_front();
    if (bytes.empty()) {
      connection->socket.close();
      return;
    }
    asio::write(connection->socket, asio::buffer(bytes));
    // Bytes that end with this mark end the connection.
    if (bytes.ends_with("!")) {
      connection->socket.close();
      return;
    }
    Read(connection);
  }

  asio::ip::tcp::acceptor acceptor_;
  std::deque<std::string> answers_;
  int connections_ = 0;
  int requests_ = 0;
};

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Caller {
  explicit Caller(asio::io_context& io) : loop(io), pool(io, {}) {}

  CallResult Call(const Endpoint& to, const std::string& echo = "") {
    std::optional<CallResult> result;
    ExchangeOrder order;
    order.to = to;
    RequestHead head;
    head.method = "GET";
    head.target = "/";
    order.bytes = Serialize(head, "");
    if (!echo.empty()) {
      order.echo_name = "X-Id";
      order.echo_value = echo;
    }
    StartCall(pool, std::move(order),
              [&result](CallResult got) { result = std::move(got); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context& loop;
  ConnectionPool pool;
};

TEST_CASE("a connection is kept for the next exchange") {
  asio::io_context loop;
  RawUpstream upstream(loop, {kAnswer, kAnswer});
  Caller caller(loop);
  for (int i = 0; i < 2; ++i) {
    const CallResult result = caller.Call(upstream.endpoint());
    REQUIRE(std::get<Response>(result).body == "ok");
  }
  REQUIRE(upstream.connections() == 1);
  REQUIRE(caller.pool.opened() == 1);
}

TEST_CASE("bytes after a whole response belong to no request") {
  asio::io_context loop;
  RawUpstream upstream(loop, {kAnswer + kAnswer, kAnswer});
  Caller caller(loop);
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint())).body == "ok");
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint())).body == "ok");
  REQUIRE(upstream.connections() == 2);
}

TEST_CASE("a response to another request is refused by its id") {
  asio::io_context loop;
  const std::string other =
      "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n";
  RawUpstream upstream(loop, {other});
  Caller caller(loop);
  const auto failure =
      std::get<ExchangeFailure>(caller.Call(upstream.endpoint(), "mine"));
  REQUIRE(failure.fault == ExchangeFault::kGarbled);
  REQUIRE(failure.verdict == Verdict::kMayHaveRun);
}

TEST_CASE("no connection is a certain not-run, a broken one is not") {
  asio::io_context loop;
  Caller caller(loop);
  Endpoint nobody;
  {
    RawUpstream gone(loop, {});
    nobody = gone.endpoint();
  }
  auto failure = std::get<ExchangeFailure>(caller.Call(nobody));
  REQUIRE(failure.fault == ExchangeFault::kNotConnected);
  REQUIRE(failure.verdict == Verdict::kNotRun);

  RawUpstream closes(loop, {""});
  failure = std::get<ExchangeFailure>(caller.Call(closes.endpoint()));
  REQUIRE(failure.fault == ExchangeFault::kBroken);
  REQUIRE(failure.verdict == Verdict::kMayHaveRun);

  RawUpstream cuts(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart!"});
  failure = std::get<ExchangeFailure>(caller.Call(cuts.endpoint()));
  REQUIRE(failure.fault == ExchangeFault::kBroken);
}

TEST_CASE("interim responses are passed over") {
  asio::io_context loop;
  RawUpstream upstream(loop, {"HTTP/1.1 100 Continue\r\n\r\n" + kAnswer});
  Caller caller(loop);
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint())).body == "ok");
}

/// Keeps requests until a test answers them.
class HoldingHandler final : public RequestHandler {
 public:
  void OnRequest(Request request,
                 std::shared_ptr<Responder> responder) override {
    requests.push_back(std::move(request));
    responder->SetOnGone([this] { ++gone; });
    responders.push_back(std::move(responder));
  }

  std::vector<Request> requests;
  std::vector<std::shared_ptr<Responder>> responders;
  int gone = 0;
};

struct Server {
  explicit Server(asio::io_context& io) : listener(io, handler) {
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener.port()}; }

  HoldingHandler handler;
  HttpListener listener;
};

TEST_CASE("a caller that hangs up is noticed while its answer is awaited") {
  asio::io_context loop;
  Server server(loop);
  ConnectionPool pool(loop, {});
  ExchangeOrder order;
  order.to = server.endpoint();
  order.bytes = "GET / HTTP/1.1\r\n\r\n";
  const auto cancel =
      StartCall(pool, std::move(order), [](const CallResult&) { FAIL(); });
  REQUIRE(RunUntil(loop, [&] { return server.handler.requests.size() == 1; }));
  cancel();
  REQUIRE(RunUntil(loop, [&] { return server.handler.gone == 1; }));
}

TEST_CASE("a listener that stops answers what is under way") {
  asio::io_context loop;
  Server server(loop);
  ConnectionPool pool(loop, {});
  std::optional<CallResult> result;
  ExchangeOrder order;
  order.to = server.endpoint();
  order.bytes = "GET / HTTP/1.1\r\n\r\n";
  StartCall(pool, std::move(order),
            [&](const CallResult& got) { result = got; });
  REQUIRE(RunUntil(loop, [&] { return server.handler.requests.size() == 1; }));
  server.listener.StopWhenIdle();
  server.handler.responders[0]->Send(MakeResponse(200, "{}"));
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  const Response& response = std::get<Response>(*result);
  REQUIRE(response.body == "{}");
  REQUIRE(*response.head.headers.Find("Connection") == "close");
  REQUIRE(
      RunUntil(loop, [&] { return server.listener.connection_count() == 0; }));
}

TEST_CASE("a malformed request is refused and its connection closed") {
  asio::io_context loop;
  Server server(loop);
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), server.listener.port()});
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\nX: y\n\n")));
  std::string got;
  std::array<char, 512> buf{};
  bool has_ended = false;
  const std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buf),
                           [&](asio::error_code ec, std::size_t n) {
                             got.append(buf.data(), n);
                             has_ended = static_cast<bool>(ec);
                             if (!ec) read();
                           });
  };
  read();
  REQUIRE(RunUntil(loop, [&] { return has_ended; }));
  REQUIRE(got.starts_with("HTTP/1.1 400 "));
  REQUIRE(server.handler.requests.empty());
}

}  // namespace
}  // namespace briarspread::proxy
