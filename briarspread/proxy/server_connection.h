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

/// Bounds on what callers may send, and how long they may take.
struct ServerSettings {
  ReadLimits limits;
  /// The longest time for one request to arrive whole.
  milliseconds header_timeout{3000};
  /// The longest time between two requests of a connection.
  milliseconds idle_timeout{15000};
  DeadPeerSettings dead_peer;
};

/// One connection of a caller. Requests are taken one at a time; bytes of the
/// next one wait. Loop's thread only.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
 public:
  using OnClosed = std::function<void(const ServerConnection*)>;

  /// Precondition: `settings` and `handler` outlive this object.
  ServerConnection(asio::ip::tcp::socket socket, const ServerSettings& settings,
                   RequestHandler& handler, OnClosed on_closed);

  void Start();
  /// Closes as soon as no request is under way; the next answer says so.
  void CloseWhenIdle();
  /// The next answer ends the connection.
  void EndAfterAnswer() { closes_after_answer_ = true; }
  /// Closes now.
  void Close();
  bool is_busy() const { return responder_ != nullptr; }

 private:
  class Answer;

  void Read();
  void OnRead(std::size_t n);
  void Take();
  void TakeError();
  void Dispatch();
  void HandOver(Request request, const std::shared_ptr<Answer>& answer);
  void CloseIfIdle();
  /// Takes bytes that have arrived but were not read yet.
  void ReadArrived();
  void Refuse(int status);
  void Queue(std::string_view bytes);
  void Flush();
  void OnWritten(std::size_t n);
  void FinishAnswer();
  void SetTimer();
  void OnTimer();
  void NoteGone();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const ServerSettings& settings_;
  RequestHandler& handler_;
  OnClosed on_closed_;
  MessageReader reader_;
  std::array<char, 8192> buf_{};
  /// Bytes read that belong to the next request.
  std::string ahead_;
  /// Bytes to be written, and those being written.
  std::string out_;
  std::string writing_;
  /// The answer under way.
  std::shared_ptr<Answer> responder_;
  bool is_reading_ = false;
  bool closes_after_answer_ = false;
  bool closes_after_write_ = false;
  bool sent_continue_ = false;
  bool is_closed_ = false;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_SERVER_CONNECTION_H_
