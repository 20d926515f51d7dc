#ifndef TESTS_SOAK_LOOPBACK_PROXY_H_
#define TESTS_SOAK_LOOPBACK_PROXY_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"

namespace briarspread::soak {

/// Faults that a proxy injects into its connections.
struct LinkFault {
  /// Time by which each block of bytes is delayed.
  milliseconds delay{0};
  /// Whether bytes to the target, or bytes back to the caller, are discarded.
  bool drops_requests = false;
  bool drops_responses = false;
  /// Whether the target's response is replaced by an endless sequence of bytes
  /// that is not an HTTP response, sent until the caller closes the connection.
  bool is_flooding = false;
};

/// Forwards TCP connections to a target on the loopback interface and injects
/// faults. Used on the loop's thread only.
class LoopbackProxy final {
 public:
  /// Listens on `port`. Throws if the port cannot be bound. Precondition:
  /// `loop` outlives this object.
  LoopbackProxy(asio::io_context& loop, std::uint16_t port,
                const Endpoint& target);
  ~LoopbackProxy();

  /// Sets the faults of open and of new connections.
  void SetFault(const LinkFault& fault) { *fault_ = fault; }
  /// Closes all connections with a TCP reset.
  void ResetAll();

 private:
  class Link;

  void Accept();

  asio::ip::tcp::acceptor acceptor_;
  const asio::ip::tcp::endpoint target_;
  /// Shared with the connections, which may outlive the proxy.
  std::shared_ptr<LinkFault> fault_;
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_LOOPBACK_PROXY_H_
