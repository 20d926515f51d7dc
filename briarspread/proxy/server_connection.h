#ifndef BRIARSPREAD_PROXY_SERVER_CONNECTION_H_
#define BRIARSPREAD_PROXY_SERVER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarspread/core/clock.h"
#include "briarspread/proxy/message_reader.h"
#include "briarspread/proxy/request_handler.h"
#include "briarspread/proxy/socket_options.h"

namespace briarspread::proxy {

/// Limits on the size and the timing of callers' requests.
struct ServerSettings {
  ReadLimits limits;
  /// Maximum time between the first and the last byte of a request.
  milliseconds header_timeout{3000};
  /// Maximum time that a connection may stay idle between two requests.
  milliseconds idle_timeout{15000};
  DeadPeerSettings dead_peer;
};

/// A caller's connection. Requests are handled one at a time; bytes of later
/// requests are buffered. Not thread-safe: use it on the event loop's thread
/// only.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
 public:
  using OnClosed = std::function<void(const ServerConnection*)>;

  /// Precondition: `settings` and `handler` outlive this object.
  ServerConnection(asio::ip::tcp::socket socket, const ServerSettings& settings,
                   RequestHandler& handler, OnClosed on_closed);

  void Start();
  /// Closes the connection once no request is in flight; the next response has
  /// `Connection: close`.
  void CloseWhenIdle();
  /// Closes the connection after the next response.
  void CloseAfterResponse() { closes_after_response_ = true; }
  /// Closes the connection immediately.
  void Close();
  bool is_busy() const { return responder_ != nullptr; }

 private:
  class ConnectionResponder;

  void Read();
  void OnRead(std::size_t n);
  void ParseBuffered();
  void RefuseByReadError();
  void Dispatch();
  void InvokeHandler(Request request,
                     const std::shared_ptr<ConnectionResponder>& responder);
  void CloseIfIdle();
  /// Reads and parses the bytes that are already in the socket's receive
  /// buffer.
  void ReadAvailable();
  void Refuse(int status);
  void Queue(std::string_view bytes);
  void Flush();
  void OnWritten(std::size_t n);
  void FinishResponse();
  void SetTimer();
  void OnTimer();
  void NotifyDisconnect();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const ServerSettings& settings_;
  RequestHandler& handler_;
  OnClosed on_closed_;
  MessageReader reader_;
  std::array<char, 8192> buf_{};
  /// Bytes read from the socket and not yet parsed.
  std::string unparsed_;
  /// Bytes waiting to be written, and bytes of the write in progress.
  std::string out_;
  std::string writing_;
  /// The responder of the request in flight; null if there is none.
  std::shared_ptr<ConnectionResponder> responder_;
  bool is_reading_ = false;
  bool closes_after_response_ = false;
  bool closes_after_write_ = false;
  bool sent_continue_ = false;
  bool is_closed_ = false;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_SERVER_CONNECTION_H_
