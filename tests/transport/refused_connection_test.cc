#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <vector>

#include "briarspread/transport/http_server.h"
#include "briarspread/transport/http_upstream_client.h"
#include "tests/support/free_port.h"

namespace briarspread {
namespace {

ExchangeOutcome CallEndpoint(const Endpoint& endpoint) {
  HttpUpstreamClient client;
  UpstreamRequest request;
  request.endpoint = endpoint;
  request.path = "/";
  request.connect_timeout = milliseconds(50);
  return client.Exchange(request, nullptr);
}

TEST_CASE("connections are refused only on a port without a listener") {
  const Endpoint endpoint{"127.0.0.1", testing::FreePort()};
  const ExchangeOutcome refused = CallEndpoint(endpoint);
  REQUIRE(refused.refused);
  REQUIRE(refused.stage == ExchangeStage::kConnecting);

  HttpServerSettings settings;
  settings.listen = endpoint;
  HttpServer server(settings);
  REQUIRE(IsOk(server.Start()));
  const ExchangeOutcome outcome = CallEndpoint(endpoint);
  REQUIRE(outcome.stage == ExchangeStage::kEnded);
  REQUIRE(outcome.status == 404);
  REQUIRE_FALSE(outcome.refused);
  // A second server must not be able to bind the same port.
  HttpServer second(settings);
  REQUIRE_FALSE(IsOk(second.Start()));
}

TEST_CASE("a connection that times out was not refused") {
  using asio::ip::tcp;
  asio::io_context loop;
  tcp::acceptor acceptor(loop);
  acceptor.open(tcp::v4());
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  acceptor.listen(0);
  // Nobody accepts them, so that the system answers no further ones. They are
  // only begun: `connect` would wait.
  std::vector<tcp::socket> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.emplace_back(loop);
    waiting.back().async_connect(acceptor.local_endpoint(),
                                 [](asio::error_code) {});
  }
  const ExchangeOutcome outcome =
      CallEndpoint({"127.0.0.1", acceptor.local_endpoint().port()});
  REQUIRE(outcome.stage == ExchangeStage::kConnecting);
  REQUIRE_FALSE(outcome.refused);
}

TEST_CASE("a host name that is not found is not reported as refusing") {
  REQUIRE_FALSE(CallEndpoint({"no-such-host", 1}).refused);
}

}  // namespace
}  // namespace briarspread
