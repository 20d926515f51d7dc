#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace briarspread::testing {
namespace {

/// Ports below the system's range of ephemeral ports, so that no outgoing
/// connection takes one before the test listens on it.
constexpr int kFirstPort = 10000;
constexpr int kPortCount = 10000;
/// Distance of the first ports of two processes with successive ids.
constexpr int kPortsPerProcess = 61;

bool CanBind(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool is_free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_free;
}

}  // namespace

std::uint16_t FreePort() {
  static int next = getpid() * kPortsPerProcess % kPortCount;
  for (int i = 0; i < kPortCount; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next);
    next = (next + 1) % kPortCount;
    if (CanBind(port)) return port;
  }
  FAIL("no free port");
  return 0;
}

}  // namespace briarspread::testing
