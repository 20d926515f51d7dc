#ifndef BRIARSPREAD_PROXY_HTTP_LISTENER_H_
#define BRIARSPREAD_PROXY_HTTP_LISTENER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"
#include "briarspread/proxy/server_connection.h"

namespace briarspread::proxy {

/// Accepts callers' HTTP connections on one address. Within the limits of its
/// settings; beyond them, it closes the connections with the least progress.
/// Not thread-safe: use it on the event loop's thread only.
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
  /// Answers each request whose response has not begun with status 504, and
  /// closes its connection: the request may have run. Its responder has no
  /// effect then.
  void AnswerUnfinished();
  /// Stops listening and closes all connections immediately.
  void Stop();

  std::uint16_t port() const { return port_; }
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t busy_count() const;
  /// Connections that were closed or rejected because of a limit, by cause.
  const std::map<std::string, std::uint64_t>& refusals() const {
    return refusals_;
  }
  /// Limits on callers. A change of `limits` and `dead_peer` applies to
  /// connections accepted afterwards, a change of a timeout to timers started
  /// afterwards.
  ServerSettings& settings() { return settings_; }

 private:
  void Accept();
  /// Accepts the connections that are pending in the backlog.
  void AcceptPending();
  void Add(asio::ip::tcp::socket socket);
  /// Returns whether a further connection from this address is within the
  /// limits, after closing others if necessary.
  bool MakeRoom(const asio::ip::address& from);
  /// Closes connections without progress for longest: those from one address,
  /// or all if it is null. Returns false if there are none.
  bool ShedConnections(const asio::ip::address* from, const char* cause);
  void RejectConnection(asio::ip::tcp::socket socket, const char* cause);
  void Remove(const ServerConnection* closed);
  /// Calls `action` after `delay`, unless this object is destroyed first.
  void After(asio::steady_timer& timer, milliseconds delay,
             void (HttpListener::*action)());
  /// Starts the periodic check of paused connections.
  void OnPaused();
  void RelievePressure();
  void CountRefusal(const char* cause);

  struct Entry {
    std::shared_ptr<ServerConnection> connection;
    asio::ip::address from;
  };

  RequestHandler& handler_;
  ServerSettings settings_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  bool closes_after_response_ = false;
  std::unordered_map<const ServerConnection*, Entry> connections_;
  std::map<asio::ip::address, std::size_t> count_by_address_;
  std::map<std::string, std::uint64_t> refusals_;
  asio::steady_timer accept_timer_;
  asio::steady_timer pressure_timer_;
  bool is_pressure_timer_set_ = false;
  /// When no connection could be closed for a new one; not tried again at once.
  TimePoint no_room_since_{};
  /// Expires with this object.
  std::shared_ptr<char> token_ = std::make_shared<char>();
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_LISTENER_H_
