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

/// Accepts callers' connections at one address. Loop's thread only.
class HttpListener final {
 public:
  /// Precondition: arguments outlive this object and its connections.
  HttpListener(asio::io_context& loop, RequestHandler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Listens at `at`. Port 0 takes a free port. `kUnavailable` where the
  /// address cannot be had.
  Status Start(const Endpoint& at);
  /// Accepts nothing more and closes connections as they become idle.
  void StopWhenIdle();
  /// Answers from now on end their connections; new ones are still accepted.
  void EndConnections();
  /// Closes all.
  void Stop();

  std::uint16_t port() const { return port_; }
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t busy_count() const;
  /// The bounds on callers; connections made later, and waits begun later, go
  /// by a change.
  ServerSettings& settings() { return settings_; }

 private:
  void Accept();
  /// Accepts connections that came about already.
  void AcceptArrived();
  void Add(asio::ip::tcp::socket socket);

  RequestHandler& handler_;
  ServerSettings settings_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  bool ends_connections_ = false;
  std::unordered_map<const ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_LISTENER_H_
