#include "briarspread/transport/connect_probe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "briarspread/transport/http_server.h"
#include "briarspread/transport/http_upstream_client.h"

namespace briarspread {
namespace {

/// A port of loopback that nothing listens on once the probe has let it go.
std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(fd, generic, n) == 0);
  getsockname(fd, generic, &n);
  close(fd);
  return ntohs(address.sin_port);
}

TEST_CASE("a port without a listener refuses, one with a listener does not") {
  const Endpoint endpoint{"127.0.0.1", FreePort()};
  REQUIRE(IsConnectionRefused(endpoint, seconds(5)));
  SystemClock clock;
  HttpUpstreamClient client(HttpUpstreamClientSettings{}, clock);
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
  // Two processes must never share a port unnoticed.
  HttpServer second(settings);
  REQUIRE_FALSE(IsOk(second.Start()));
}

TEST_CASE("an address that is no IP number is no proof") {
  REQUIRE_FALSE(IsConnectionRefused({"no-such-host", 1}, seconds(1)));
}

}  // namespace
}  // namespace briarspread
