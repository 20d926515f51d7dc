#ifndef BRIARSPREAD_PROXY_CONNECTION_POOL_H_
#define BRIARSPREAD_PROXY_CONNECTION_POOL_H_

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "briarspread/proxy/connection_observer.h"
#include "briarspread/proxy/upstream_connection.h"

namespace briarspread::proxy {

/// Pool of connections to upstreams that runs exchanges over them. Not
/// thread-safe: use it on the event loop's thread only.
class ConnectionPool final {
 public:
  /// Precondition: `loop` outlives this object, and this object outlives all
  /// exchanges.
  ConnectionPool(asio::io_context& loop,
                 const UpstreamConnectionSettings& settings);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Starts an exchange on an idle connection to its endpoint, or on a new
  /// connection. An idle connection that recently carried the same request is
  /// not reused: a late duplicate of the first response would be taken for the
  /// response to the second request. A request without bytes fails as
  /// `kInvalidRequest`. Precondition: `listener` lives until the
  /// exchange ends, fails or is cancelled.
  std::unique_ptr<Exchange> Start(ExchangeRequest request,
                                  ExchangeListener& listener);
  /// Sets the observer of all connections opened from now on. Precondition:
  /// `observer` outlives the connections.
  void SetObserver(ConnectionObserver& observer) { observer_ = &observer; }
  /// Opens a connection to `to` that is kept idle for the next exchange.
  void Connect(const Endpoint& to);
  /// Returns whether there is an idle connection to `to`.
  bool HasIdle(const Endpoint& to) const { return idle_.contains(to); }
  /// Closes the idle connections to `to`, such as those to a removed upstream.
  void CloseIdle(const Endpoint& to);

  /// Number of connections created since construction, including those that
  /// could not be established.
  std::uint64_t opened() const { return opened_; }
  /// Number of connections closed since construction, by the name of their
  /// `CloseCause`.
  const std::map<std::string, std::uint64_t>& closed() const { return closed_; }
  std::size_t open_count() const { return all_.size(); }

 private:
  class PooledExchange;
  using Connection = std::shared_ptr<UpstreamConnection>;

  Connection Open(const Endpoint& to);
  Connection TakeIdle(const ExchangeRequest& request);
  void OnReleased(const Connection& connection);

  asio::io_context& loop_;
  const UpstreamConnectionSettings settings_;
  ConnectionObserver* observer_ = nullptr;
  /// Idle connections by endpoint, the most recently used last.
  std::map<Endpoint, std::vector<Connection>> idle_;
  std::unordered_set<Connection> all_;
  std::uint64_t opened_ = 0;
  std::map<std::string, std::uint64_t> closed_;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_CONNECTION_POOL_H_
