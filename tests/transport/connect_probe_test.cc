#include "briarspread/transport/connect_probe.h"

#include <catch2/catch.hpp>

#include "briarspread/transport/http_server.h"
#include "briarspread/transport/http_upstream_client.h"
#include "tests/support/free_port.h"

namespace briarspread {
namespace {

TEST_CASE("connections are refused only on a port without a listener") {
  const Endpoint endpoint{"127.0.0.1", testing::FreePort()};
  REQUIRE(IsConnectionRefused(endpoint, seconds(5)));
  HttpUpstreamClient client;
  UpstreamRequest request;
  request.endpoint = endpoint;
  request.path = "/";
  REQUIRE(client.Exchange(request, nullptr).refused);

  HttpServerSettings settings;
  settings.listen = endpoint;
  HttpServer server(settings);
  REQUIRE(IsOk(server.Start()));
  REQUIRE_FALSE(IsConnectionRefused(endpoint, seconds(5)));
  const ExchangeOutcome outcome = client.Exchange(request, nullptr);
  REQUIRE(outcome.stage == ExchangeStage::kEnded);
  REQUIRE(outcome.status == 404);
  REQUIRE_FALSE(outcome.refused);
  // A second server must not be able to bind the same port.
  HttpServer second(settings);
  REQUIRE_FALSE(IsOk(second.Start()));
}

TEST_CASE("a host name is not reported as refusing connections") {
  REQUIRE_FALSE(IsConnectionRefused({"no-such-host", 1}, seconds(1)));
}

}  // namespace
}  // namespace briarspread
