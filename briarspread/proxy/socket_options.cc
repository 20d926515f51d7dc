#include "briarspread/proxy/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace briarspread::proxy {
namespace {

void SetOption(int fd, int level, int name, int value) {
  // Without the option a dead peer is detected later, by the timeouts of the
  // connection's user.
  static_cast<void>(setsockopt(fd, level, name, &value, sizeof value));
}

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket,
                      const DeadPeerSettings& settings) {
  const int fd = socket.native_handle();
  const auto interval = static_cast<int>(settings.probe_interval.count());
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, settings.max_probes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(settings.unacknowledged_timeout.count()));
}

}  // namespace briarspread::proxy
