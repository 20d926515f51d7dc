#ifndef BRIARSPREAD_PROXY_CONNECTION_POOL_H_
#define BRIARSPREAD_PROXY_CONNECTION_POOL_H_

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "briarspread/proxy/upstream_connection.h"

namespace briarspread::proxy {

/// Keeps connections to upstreams and runs exchanges over them. Loop's thread
/// only.
class ConnectionPool final {
 public:
  /// Precondition: `loop` outlives this object, this object all exchanges.
  ConnectionPool(asio::io_context& loop,
                 const UpstreamConnectionSettings& settings);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Starts an exchange. A kept connection that has carried the same request
  /// is left aside: a late second copy of its first answer would be taken for
  /// the next one. Precondition: `listener` lives until it hears of the end or
  /// cancels.
  std::unique_ptr<Exchange> Start(ExchangeOrder order,
                                  ExchangeListener& listener);
  /// Closes the kept connections to an upstream that is gone.
  void Forget(const Endpoint& to);

  /// Connections opened since the start.
  std::uint64_t opened() const { return opened_; }
  /// Connections that ended since the start, by cause.
  const std::map<std::string, std::uint64_t>& closed() const { return closed_; }
  std::size_t open_count() const { return all_.size(); }

 private:
  class PooledExchange;
  using Connection = std::shared_ptr<UpstreamConnection>;

  Connection Take(const ExchangeOrder& order);
  void OnIdle(const Connection& connection);

  asio::io_context& loop_;
  const UpstreamConnectionSettings settings_;
  /// Idle connections, the most recently used last.
  std::map<Endpoint, std::vector<Connection>> idle_;
  std::unordered_set<Connection> all_;
  std::uint64_t opened_ = 0;
  std::map<std::string, std::uint64_t> closed_;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_CONNECTION_POOL_H_
