#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <stdexcept>
#include <thread>

#include "briarspread/proxy/connection_pool.h"
#include "briarspread/proxy/guarded_run.h"
#include "briarspread/proxy/http_call.h"
#include "briarspread/proxy/http_listener.h"
#include "tests/support/loop_runner.h"
#include "tests/support/raw_upstream.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::RawUpstream;
using briarspread::testing::RunUntil;

const std::string kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Caller {
  explicit Caller(asio::io_context& io) : loop(io), pool(io, {}) {}

  CallResult Call(const Endpoint& to, const std::string& echo = "") {
    std::optional<CallResult> result;
    ExchangeRequest request;
    request.to = to;
    RequestHead head;
    head.method = "GET";
    head.target = "/";
    request.bytes = RequestBytes::Make(head, "");
    if (!echo.empty()) {
      request.echo_name = "X-Id";
      request.echo_value = echo;
    }
    StartCall(pool, std::move(request),
              [&result](CallResult got) { result = std::move(got); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context& loop;
  ConnectionPool pool;
};

TEST_CASE("a connection is reused for the next exchange") {
  asio::io_context loop;
  RawUpstream upstream(loop, {kOkResponse, kOkResponse});
  Caller caller(loop);
  for (int i = 0; i < 2; ++i) {
    const CallResult result = caller.Call(upstream.endpoint());
    REQUIRE(std::get<Response>(result).body == "ok");
  }
  REQUIRE(upstream.connections() == 1);
  REQUIRE(caller.pool.opened() == 1);
  caller.pool.CloseIdle(upstream.endpoint());
  REQUIRE(caller.pool.closed().at("forgotten") == 1);
}

TEST_CASE("a connection whose close is not processed yet is not reused") {
  asio::io_context loop;
  ConnectionPool pool(loop, {});
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  const Endpoint to{"127.0.0.1", acceptor.local_endpoint().port()};
  pool.Connect(to);
  asio::ip::tcp::socket accepted = acceptor.accept();
  REQUIRE(RunUntil(loop, [&] { return pool.HasIdle(to); }));
  accepted.close();
  ExchangeRequest request;
  request.to = to;
  request.bytes = RequestBytes::Make(RequestHead{"GET", "/", {}}, "");
  const auto cancel =
      StartCall(pool, std::move(request), [](const CallResult&) {});
  REQUIRE(pool.opened() == 2);
  cancel();
}

TEST_CASE("closed connections are counted by cause") {
  asio::io_context loop;
  RawUpstream upstream(
      loop, {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
             "0\r\n\r\n",
             "no answer\r\n\r\n", kOkResponse + "!!"});
  Caller caller(loop);
  for (int i = 0; i < 3; ++i) caller.Call(upstream.endpoint());
  REQUIRE(caller.pool.closed().at("answer_said") == 2);
  REQUIRE(caller.pool.closed().at("failed") == 1);
  REQUIRE(caller.pool.opened() == 3);
}

TEST_CASE("a connection with bytes after a complete response is not reused") {
  asio::io_context loop;
  RawUpstream upstream(loop, {kOkResponse + kOkResponse, kOkResponse});
  Caller caller(loop);
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint())).body == "ok");
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint())).body == "ok");
  REQUIRE(upstream.connections() == 2);
}

TEST_CASE("a response with the id of another request is rejected") {
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

std::string ResponseWithId(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\n" +
         id;
}

TEST_CASE("a late duplicate of a response is rejected for another request") {
  // The duplicate arrives in place of the next response on the reused
  // connection.
  asio::io_context loop;
  RawUpstream upstream(loop, {ResponseWithId("a1"), ResponseWithId("a1")});
  Caller caller(loop);
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint(), "a1")).body ==
          "a1");
  const auto failure =
      std::get<ExchangeFailure>(caller.Call(upstream.endpoint(), "b2"));
  REQUIRE(failure.fault == ExchangeFault::kGarbled);
  REQUIRE(upstream.connections() == 1);
}

TEST_CASE("a resent request uses a connection that has not carried it") {
  // The resent request has the same id, so a duplicate of the first response
  // would be accepted as the second response.
  asio::io_context loop;
  RawUpstream upstream(
      loop, {ResponseWithId("a1"), ResponseWithId("a1"), ResponseWithId("b2")});
  Caller caller(loop);
  caller.Call(upstream.endpoint(), "a1");
  caller.Call(upstream.endpoint(), "a1");
  REQUIRE(upstream.connections() == 2);
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint(), "b2")).body ==
          "b2");
  REQUIRE(upstream.connections() == 2);
}

TEST_CASE("on a reused connection a response without an id is rejected") {
  asio::io_context loop;
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  RawUpstream upstream(loop, {ResponseWithId("a1"), refusal});
  Caller caller(loop);
  caller.Call(upstream.endpoint(), "a1");
  const auto failure =
      std::get<ExchangeFailure>(caller.Call(upstream.endpoint(), "b2"));
  REQUIRE(failure.fault == ExchangeFault::kGarbled);
  REQUIRE(failure.verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a failed connect is not run, a broken connection may have run") {
  asio::io_context loop;
  Caller caller(loop);
  Endpoint unreachable;
  {
    RawUpstream closed_upstream(loop, {});
    unreachable = closed_upstream.endpoint();
  }
  auto failure = std::get<ExchangeFailure>(caller.Call(unreachable));
  REQUIRE(failure.fault == ExchangeFault::kNotConnected);
  REQUIRE(failure.verdict == Verdict::kNotRun);

  RawUpstream closes(loop, {"!"});
  failure = std::get<ExchangeFailure>(caller.Call(closes.endpoint()));
  REQUIRE(failure.fault == ExchangeFault::kBroken);
  REQUIRE(failure.verdict == Verdict::kMayHaveRun);

  RawUpstream cuts(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart!"});
  failure = std::get<ExchangeFailure>(caller.Call(cuts.endpoint()));
  REQUIRE(failure.fault == ExchangeFault::kBroken);
}

TEST_CASE("interim responses are skipped") {
  asio::io_context loop;
  RawUpstream upstream(loop, {"HTTP/1.1 100 Continue\r\n\r\n" + kOkResponse});
  Caller caller(loop);
  REQUIRE(std::get<Response>(caller.Call(upstream.endpoint())).body == "ok");
}

/// Keeps requests until a test responds to them.
class HoldingHandler final : public RequestHandler {
 public:
  void OnRequest(Request request,
                 std::shared_ptr<Responder> responder) override {
    requests.push_back(std::move(request));
    responder->SetOnDisconnect([this] { ++disconnects; });
    responders.push_back(std::move(responder));
  }

  std::vector<Request> requests;
  std::vector<std::shared_ptr<Responder>> responders;
  int disconnects = 0;
};

struct Server {
  explicit Server(asio::io_context& io) : listener(io, handler) {
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener.port()}; }

  HoldingHandler handler;
  HttpListener listener;
};

TEST_CASE("a caller's disconnect is reported while its request is in flight") {
  asio::io_context loop;
  Server server(loop);
  ConnectionPool pool(loop, {});
  ExchangeRequest request;
  request.to = server.endpoint();
  request.bytes = RequestBytes::Parse("GET / HTTP/1.1\r\n\r\n");
  const auto cancel =
      StartCall(pool, std::move(request), [](const CallResult&) { FAIL(); });
  REQUIRE(RunUntil(loop, [&] { return server.handler.requests.size() == 1; }));
  cancel();
  REQUIRE(RunUntil(loop, [&] { return server.handler.disconnects == 1; }));
}

TEST_CASE("a listener that stops completes requests in flight") {
  asio::io_context loop;
  Server server(loop);
  ConnectionPool pool(loop, {});
  std::optional<CallResult> result;
  ExchangeRequest request;
  request.to = server.endpoint();
  request.bytes = RequestBytes::Parse("GET / HTTP/1.1\r\n\r\n");
  StartCall(pool, std::move(request),
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

/// A caller that sends raw bytes; the server does not read them until the event
/// loop runs.
struct RawClient {
  RawClient(asio::io_context& loop, std::uint16_t port) : socket(loop) {
    socket.connect({asio::ip::address_v4::loopback(), port});
  }
  void Send(const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
  }
  /// Reads until the server closes the connection.
  std::string ReadAll(asio::io_context& loop) {
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
    return got;
  }
  asio::ip::tcp::socket socket;
};

/// Responds within the call.
class ImmediateHandler final : public RequestHandler {
 public:
  void OnRequest(Request, std::shared_ptr<Responder> responder) override {
    responder->Send(MakeResponse(200, "{}"));
  }
};

TEST_CASE("a listener that stops serves requests that have just arrived") {
  // Covers an accepted connection and one that waits to be accepted. The event
  // loop has read the bytes of neither.
  asio::io_context loop;
  ImmediateHandler handler;
  HttpListener listener(loop, handler);
  REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  RawClient kept(loop, listener.port());
  REQUIRE(RunUntil(loop, [&] { return listener.connection_count() == 1; }));
  RawClient waiting(loop, listener.port());
  kept.Send("GET /kept HTTP/1.1\r\n\r\n");
  waiting.Send("GET /waiting HTTP/1.1\r\n\r\n");
  listener.CloseConnectionsAfterResponse();
  listener.StopWhenIdle();
  REQUIRE(kept.ReadAll(loop).starts_with("HTTP/1.1 200 "));
  REQUIRE(waiting.ReadAll(loop).starts_with("HTTP/1.1 200 "));
}

/// Throws on the target `/bad`, like a handler with a bug.
class ThrowingHandler final : public RequestHandler {
 public:
  void OnRequest(Request request,
                 std::shared_ptr<Responder> responder) override {
    if (request.head.target == "/bad") throw std::runtime_error("fault");
    responder->Send(MakeResponse(200, "{}"));
  }
};

TEST_CASE("an exception in a handler fails its own request only") {
  asio::io_context loop;
  ThrowingHandler handler;
  HttpListener listener(loop, handler);
  REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  RawClient client(loop, listener.port());
  client.Send(
      "GET /bad HTTP/1.1\r\n\r\n"
      "GET /good HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string got = client.ReadAll(loop);
  REQUIRE(got.starts_with("HTTP/1.1 500 "));
  REQUIRE(got.find("HTTP/1.1 200 ") != std::string::npos);
}

TEST_CASE("the event loop continues after an exception in a handler") {
  asio::io_context loop;
  int after = 0;
  asio::post(loop, [] { throw std::runtime_error("fault"); });
  asio::post(loop, [&after] { ++after; });
  REQUIRE(RunLoopLoggingExceptions(loop) == 1);
  REQUIRE(after == 1);
}

TEST_CASE("a malformed request is rejected and its connection closed") {
  asio::io_context loop;
  Server server(loop);
  RawClient client(loop, server.listener.port());
  client.Send("GET / HTTP/1.1\nX: y\n\n");
  const std::string got = client.ReadAll(loop);
  REQUIRE(got.starts_with("HTTP/1.1 400 "));
  REQUIRE(server.handler.requests.empty());
}

// Guards against a request that is sent long after its start because the
// process was paused while it connected; a batch item may be obsolete by then.
TEST_CASE("a request is not sent after the time to connect has passed") {
  asio::io_context loop;
  RawUpstream upstream(loop, {});
  UpstreamConnectionSettings settings;
  settings.connect_timeout = milliseconds(10);
  ConnectionPool pool(loop, settings);
  std::optional<CallResult> result;
  ExchangeRequest request;
  request.to = upstream.endpoint();
  request.bytes = RequestBytes::Parse("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  StartCall(pool, std::move(request),
            [&result](CallResult got) { result = std::move(got); });
  std::this_thread::sleep_for(5 * settings.connect_timeout);
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  REQUIRE(std::get<ExchangeFailure>(*result).verdict == Verdict::kNotRun);
  // The upstream reads whatever was sent.
  loop.restart();
  loop.run_for(5 * settings.connect_timeout);
  REQUIRE(upstream.requests() == 0);
}

}  // namespace
}  // namespace briarspread::proxy
