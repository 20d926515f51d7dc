// Callers beyond the limits of a listener: bodies for which there is no memory,
// bodies that stop, too many connections.
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>

#include "briarspread/proxy/http_listener.h"
#include "tests/support/loop_runner.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::RunUntil;

constexpr std::size_t kMiB = std::size_t{1} << 20U;

/// Answers 200 and counts the requests.
class CountingHandler final : public RequestHandler {
 public:
  void OnRequest(Request request,
                 std::shared_ptr<Responder> responder) override {
    ++requests;
    last_body = request.body.size();
    responder->Send(MakeResponse(200, "{}"));
  }
  int requests = 0;
  std::size_t last_body = 0;
};

struct Client {
  Client(asio::io_context& loop, std::uint16_t port) : socket(loop) {
    socket.connect({asio::ip::address_v4::loopback(), port});
    Read();
  }
  void Send(std::string bytes) {
    const auto all = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(socket, asio::buffer(*all),
                      [all](asio::error_code, std::size_t) {});
  }
  void SendBody(std::size_t declared, std::size_t sent) {
    Send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(declared) +
         "\r\n\r\n" + std::string(sent, 'x'));
  }
  void Read() {
    socket.async_read_some(asio::buffer(buf),
                           [this](asio::error_code ec, std::size_t n) {
                             got.append(buf.data(), n);
                             has_ended = static_cast<bool>(ec);
                             if (!ec) Read();
                           });
  }
  asio::ip::tcp::socket socket;
  std::array<char, 512> buf{};
  std::string got;
  bool has_ended = false;
};

struct LimitedServer {
  LimitedServer() : budget(4 * kMiB), listener(loop, handler) {
    listener.settings().memory = &budget;
    listener.settings().shed.min_stall = milliseconds(1);
    listener.settings().shed.max_pause = milliseconds(1);
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  Client& Add() {
    clients.emplace_back(loop, listener.port());
    return clients.back();
  }

  asio::io_context loop;
  CountingHandler handler;
  MemoryBudget budget;
  HttpListener listener;
  std::list<Client> clients;
};

TEST_CASE("requests beyond the memory are answered 503 and do not run") {
  // Without a limit on their sum, open bodies exhaust the process's memory.
  LimitedServer server;
  for (int i = 0; i < 4; ++i) server.Add().SendBody(2 * kMiB, 2 * kMiB - 1);
  REQUIRE(RunUntil(server.loop, [&] {
    return server.listener.refusals().contains("memory") &&
           server.budget.used() < 3 * kMiB;
  }));
  const auto is_refused = [](const Client& client) {
    return client.got.starts_with("HTTP/1.1 503 ") &&
           client.got.find("Retry-After: ") != std::string::npos;
  };
  REQUIRE(RunUntil(server.loop, [&] {
    return std::any_of(server.clients.begin(), server.clients.end(),
                       is_refused);
  }));
  REQUIRE(server.handler.requests == 0);
  Client& ordinary = server.Add();
  ordinary.SendBody(1000, 1000);
  REQUIRE(RunUntil(server.loop,
                   [&] { return ordinary.got.starts_with("HTTP/1.1 200 "); }));
  server.listener.Stop();
  REQUIRE(server.budget.used() == 0);
}

TEST_CASE("a body that makes progress may take longer than the head") {
  // A large body on a slow link was answered 408.
  LimitedServer server;
  server.listener.settings().header_timeout = milliseconds(1);
  server.listener.settings().body_timeout = milliseconds(20000);
  Client& slow = server.Add();
  slow.SendBody(4, 2);
  bool is_over = false;
  asio::steady_timer later(server.loop, milliseconds(50));
  later.async_wait([&](asio::error_code) { is_over = true; });
  REQUIRE(RunUntil(server.loop, [&] { return is_over; }));
  slow.Send("xx");
  REQUIRE(RunUntil(server.loop, [&] { return !slow.got.empty(); }));
  REQUIRE(slow.got.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a body without progress is answered 408") {
  LimitedServer server;
  server.listener.settings().body_timeout = milliseconds(1);
  Client& client = server.Add();
  client.SendBody(4, 2);
  REQUIRE(RunUntil(server.loop, [&] { return client.has_ended; }));
  REQUIRE(client.got.starts_with("HTTP/1.1 408 "));
}

TEST_CASE("a new connection replaces one that sends nothing") {
  // Silent connections would otherwise exclude all callers.
  LimitedServer server;
  server.listener.settings().max_connections = 3;
  for (int i = 0; i < 6; ++i) server.Add();
  Client& ordinary = server.Add();
  ordinary.Send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(server.loop, [&] { return !ordinary.got.empty(); }));
  REQUIRE(ordinary.got.starts_with("HTTP/1.1 200 "));
  REQUIRE(server.listener.connection_count() <= 3);
  REQUIRE(server.listener.refusals().at("connections") >= 3);
}

TEST_CASE("a large chunked body is received completely") {
  LimitedServer server;
  std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 16; ++i) {
    bytes += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  }
  Client& client = server.Add();
  client.Send(bytes + "0\r\n\r\n");
  REQUIRE(RunUntil(server.loop, [&] { return !client.got.empty(); }));
  REQUIRE(server.handler.last_body == kMiB);
}

}  // namespace
}  // namespace briarspread::proxy
