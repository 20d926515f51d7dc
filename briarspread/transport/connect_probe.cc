#include "briarspread/transport/connect_probe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace briarspread {
namespace {

/// Waits for the non-blocking connect of `fd` and returns its `errno` value, or
/// zero if it succeeded or did not complete within `timeout`.
int PendingError(int fd, milliseconds timeout) {
  pollfd waiting{fd, POLLOUT, 0};
  if (poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) return 0;
  int error = 0;
  socklen_t n = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
  return error;
}

}  // namespace

bool IsConnectionRefused(const Endpoint& endpoint, milliseconds timeout) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  int error = 0;
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (connect(fd, generic, sizeof(address)) != 0) error = errno;
  if (error == EINPROGRESS) error = PendingError(fd, timeout);
  close(fd);
  return error == ECONNREFUSED;
}

}  // namespace briarspread
