#ifndef BRIARSPREAD_PROXY_HTTP_LISTENER_H_
#define BRIARSPREAD_PROXY_HTTP_LISTENER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"
#include "briarspread/proxy/server_connection.h"

namespace briarspread::proxy {

/// Accepts callers' HTTP connections on one address. Not thread-safe: use it on
/// the event loop's thread only.
class HttpListener final {
 public:
  /// Precondition: `loop` and `handler` outlive this object and its
  /// connections.
  HttpListener(asio::io_context& loop, RequestHandler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Listens on `at`; port 0 selects a free port. Returns `kUnavailable` if the
  /// address cannot be used.
  Status Start(const Endpoint& at);
  /// Accepts the connections that are already pending, then stops listening and
  /// closes each connection once it is idle.
  void StopWhenIdle();
  /// Closes each connection, including later ones, after its next response. New
  /// connections are still accepted.
  void CloseConnectionsAfterResponse();
  /// Stops listening and closes all connections immediately.
  void Stop();

  std::uint16_t port() const { return port_; }
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t busy_count() const;
  /// Limits on callers. A change of `limits` and `dead_peer` applies to
  /// connections accepted afterwards, a change of a timeout to timers started
  /// afterwards.
  ServerSettings& settings() { return settings_; }

 private:
  void Accept();
  /// Accepts the connections that are pending in the backlog.
  void AcceptPending();
  void Add(asio::ip::tcp::socket socket);

  RequestHandler& handler_;
  ServerSettings settings_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  bool closes_after_response_ = false;
  std::unordered_map<const ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_LISTENER_H_
