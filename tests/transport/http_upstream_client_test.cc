#include "briarspread/transport/http_upstream_client.h"

#include <catch2/catch.hpp>

#include "briarspread/transport/http_server.h"
#include "tests/support/free_port.h"

namespace briarspread {
namespace {

/// More than is held back for a thread that does not fetch it.
constexpr std::size_t kLongBytes = std::size_t{4} * 1024 * 1024;

/// A server on loopback that tells what it received, and a client.
struct ClientFixture {
  ClientFixture() : server(MakeSettings(endpoint)) {
    server.routes().Post(".*", [](const auto& in, auto& out) {
      out.set_header("X-Client-Port", std::to_string(in.remote_port));
      out.set_content(in.target + "\n" + in.get_header_value("Host") + "\n" +
                          in.get_header_value("Content-Type") + "\n" + in.body,
                      "text/plain");
    });
    server.routes().Get("/long", [](const auto&, auto& out) {
      out.set_content(std::string(kLongBytes, 'x'), "text/plain");
    });
    REQUIRE(IsOk(server.Start()));
  }

  static HttpServerSettings MakeSettings(const Endpoint& listen) {
    HttpServerSettings settings;
    settings.listen = listen;
    settings.threads = 8;
    return settings;
  }

  UpstreamRequest Request(const std::string& method, const std::string& path) {
    UpstreamRequest request;
    request.endpoint = endpoint;
    request.method = method;
    request.path = path;
    return request;
  }

  const Endpoint endpoint{"127.0.0.1", testing::FreePort()};
  HttpServer server;
  HttpUpstreamClient client;
};

/// Counts the bytes of a response, and cancels after `most`.
struct CountingReceiver final : ResponseReceiver {
  bool OnHead(int, const std::vector<Header>&) override { return true; }
  bool OnData(std::string_view data) override {
    n += data.size();
    return n < most;
  }
  std::size_t n = 0;
  std::size_t most = kLongBytes + 1;
};

TEST_CASE("a request arrives as it was given") {
  ClientFixture fixture;
  UpstreamRequest request = fixture.Request("POST", "/a b?key=x+y%2F");
  request.body = "body";
  request.content_type = "text/x";
  const ExchangeOutcome outcome = fixture.client.Exchange(request, nullptr);
  REQUIRE(outcome.stage == ExchangeStage::kEnded);
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == "/a%20b?key=x%2By%2F\n127.0.0.1:" +
                              std::to_string(fixture.endpoint.port) +
                              "\ntext/x\nbody");
}

TEST_CASE("a call that must not run twice has a connection of its own") {
  ClientFixture fixture;
  UpstreamRequest request = fixture.Request("POST", "/");
  const auto port = [&] {
    const auto outcome = fixture.client.Exchange(request, nullptr);
    REQUIRE(outcome.stage == ExchangeStage::kEnded);
    return FindHeader(outcome.headers, "X-Client-Port");
  };
  const std::string first = port();
  REQUIRE(port() == first);
  request.may_reuse_connection = false;
  const std::string own = port();
  REQUIRE(own != first);
  request.may_reuse_connection = true;
  REQUIRE(port() == first);
}

TEST_CASE("a long response arrives whole, unless its receiver cancels it") {
  ClientFixture fixture;
  const UpstreamRequest request = fixture.Request("GET", "/long");
  CountingReceiver all;
  REQUIRE(fixture.client.Exchange(request, &all).stage ==
          ExchangeStage::kEnded);
  REQUIRE(all.n == kLongBytes);
  CountingReceiver part;
  part.most = 1;
  const ExchangeOutcome outcome = fixture.client.Exchange(request, &part);
  REQUIRE(outcome.cancelled);
  REQUIRE(outcome.stage == ExchangeStage::kAnswering);
}

TEST_CASE("a request that can't be sent says so") {
  ClientFixture fixture;
  UpstreamRequest request = fixture.Request("POST", "/");
  request.headers.push_back({"X", "a\r\nY: b"});
  REQUIRE(fixture.client.Exchange(request, nullptr).stage ==
          ExchangeStage::kBeforeConnect);
  request = fixture.Request("POST", "/");
  request.endpoint.host = "no-such-host.invalid";
  REQUIRE(fixture.client.Exchange(request, nullptr).stage ==
          ExchangeStage::kConnecting);
  request.endpoint = {"localhost", fixture.endpoint.port};
  REQUIRE(fixture.client.Exchange(request, nullptr).status == 200);
}

}  // namespace
}  // namespace briarspread
