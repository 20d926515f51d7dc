#ifndef BRIARSPREAD_PROXY_SOCKET_OPTIONS_H_
#define BRIARSPREAD_PROXY_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>

#include "briarspread/core/clock.h"

namespace briarspread::proxy {

/// How a connection finds out that its peer is gone without a word.
struct DeadPeerSettings {
  /// How long sent bytes may stay unacknowledged.
  milliseconds unacknowledged{2000};
  /// Silence before the first probe, and between probes; whole seconds.
  seconds probe_interval{1};
  /// Probes without an answer that end the connection.
  int probes = 3;
};

/// Sets no-delay, keep-alive probes and the limit on unacknowledged bytes.
/// A system without one of these options goes without it. Thread-safe.
void SetSocketOptions(asio::ip::tcp::socket& socket,
                      const DeadPeerSettings& settings);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_SOCKET_OPTIONS_H_
