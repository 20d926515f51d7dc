#ifndef BRIARSPREAD_PROXY_SOCKET_OPTIONS_H_
#define BRIARSPREAD_PROXY_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>

#include "briarspread/core/clock.h"

namespace briarspread::proxy {

/// Detection of a peer that disappeared without closing its connection.
struct DeadPeerSettings {
  /// Maximum time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
  milliseconds unacknowledged_timeout{2000};
  /// Idle time before the first keep-alive probe, and the interval between
  /// probes; whole seconds.
  seconds probe_interval{1};
  /// Number of unanswered probes after which the connection is closed.
  int max_probes = 3;
};

/// Sets no-delay, keep-alive probes and the limit on unacknowledged bytes.
/// Options that the system refuses are skipped. Thread-safe.
void SetSocketOptions(asio::ip::tcp::socket& socket,
                      const DeadPeerSettings& settings);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_SOCKET_OPTIONS_H_
