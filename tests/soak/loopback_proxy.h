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

/// What a proxy does to the bytes that pass.
struct LinkFault {
  /// Bytes are passed on so much later.
  milliseconds delay{0};
  /// Bytes towards the target, or back, are swallowed.
  bool is_cut_there = false;
  bool is_cut_back = false;
  /// In place of what the target sends back come bytes that are no answer,
  /// without end, until the caller closes.
  bool is_endless_back = false;
};

/// Passes connections on to a target on loopback, with faults between. Loop's
/// thread only.
class LoopbackProxy final {
 public:
  /// Listens on `port`; aborts where it cannot. Precondition: `loop` outlives
  /// this object.
  LoopbackProxy(asio::io_context& loop, std::uint16_t port,
                const Endpoint& target);
  ~LoopbackProxy();

  /// Holds for connections that are open, and for new ones.
  void SetFault(const LinkFault& fault) { *fault_ = fault; }
  /// Resets all connections.
  void ResetAll();

 private:
  class Link;

  void Accept();

  asio::ip::tcp::acceptor acceptor_;
  const asio::ip::tcp::endpoint target_;
  /// Shared with connections, which may outlive the proxy.
  std::shared_ptr<LinkFault> fault_;
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_LOOPBACK_PROXY_H_
