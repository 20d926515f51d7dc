#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace briarspread::testing {

std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(fd, generic, n) == 0);
  REQUIRE(getsockname(fd, generic, &n) == 0);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace briarspread::testing
