#ifndef BRIARSPREAD_PROXY_SERVER_CONNECTION_H_
#define BRIARSPREAD_PROXY_SERVER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarspread/core/clock.h"
#include "briarspread/core/memory_budget.h"
#include "briarspread/proxy/message_reader.h"
#include "briarspread/proxy/request_handler.h"
#include "briarspread/proxy/shed_policy.h"
#include "briarspread/proxy/socket_options.h"

namespace briarspread::proxy {

/// Limits on the size and the timing of callers' requests.
struct ServerSettings {
  ReadLimits limits;
  /// Maximum time between the first byte of a request and the end of its head.
  milliseconds header_timeout{3000};
  /// Maximum time without a byte of a request's body.
  milliseconds body_timeout{15000};
  /// Maximum time that a connection may stay idle between two requests.
  milliseconds idle_timeout{15000};
  DeadPeerSettings dead_peer;
  /// The budget from which bytes are reserved before they are read; null for
  /// no limit.
  MemoryBudget* memory = nullptr;
  /// Maximum numbers of connections in total and from one address; zero for no
  /// limit.
  std::size_t max_connections = 0;
  std::size_t max_connections_per_address = 0;
  ShedSettings shed;
};

/// A caller's connection. Requests are handled one at a time; bytes of later
/// requests are buffered. Not thread-safe: use it on the event loop's thread
/// only.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
 public:
  using OnClosed = std::function<void(const ServerConnection*)>;
  using OnPaused = std::function<void()>;

  /// Precondition: `settings` and `handler` outlive this object.
  ServerConnection(asio::ip::tcp::socket socket, const ServerSettings& settings,
                   RequestHandler& handler, OnClosed on_closed,
                   OnPaused on_paused);

  /// Reserves the memory that each connection needs. Returns false if the
  /// budget has no room.
  bool Reserve();
  void Start();
  /// Closes the connection once no request is in flight; the next response has
  /// `Connection: close`.
  void CloseWhenIdle();
  /// Closes the connection after the next response.
  void CloseAfterResponse() { closes_after_response_ = true; }
  /// Closes the connection immediately.
  void Close();
  /// Ends a request whose response has not begun; see
  /// `HttpListener::AnswerUnfinished`.
  void AnswerUnfinished();
  bool is_busy() const { return responder_ != nullptr; }
  /// Whether reading is paused for want of memory.
  bool is_paused() const { return paused_since_.has_value() && !is_closed_; }
  /// What the connection is doing, for the choice of one to close.
  ConnectionLoad LoadAt(TimePoint now) const;
  /// Continues reading if it is paused and the budget has room.
  void ResumeReading();
  /// Rejects the request that is being received, or closes the connection if
  /// there is none.
  void Shed();

 private:
  class ConnectionResponder;

  void Read();
  /// Reserves memory for the next read. Returns false if the budget has no
  /// room.
  bool ReserveForRead();
  void RecordProgress(std::size_t n);
  /// Releases what was received of the current request. Its remaining bytes
  /// are read and dropped, so that the caller can read the response.
  void DropRequest();
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
  void SendAndClose(const Response& response);
  void CountUnsent();
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
  OnPaused on_paused_;
  MessageReader reader_;
  std::array<char, 8192> buf_{};
  /// Bytes read from the socket and not yet parsed.
  std::string unparsed_;
  /// Bytes waiting to be written, and bytes of the write in progress.
  std::string out_;
  std::string writing_;
  /// The responder of the request in flight; null if there is none.
  std::shared_ptr<ConnectionResponder> responder_;
  /// Memory of the connection, its unparsed bytes and the request's head.
  MemoryReservation memory_;
  /// Memory of the body being received; null before its first byte.
  std::shared_ptr<MemoryReservation> body_memory_;
  MemoryReservation unsent_memory_;
  /// When the connection last made progress, and the bytes since then.
  TimePoint last_progress_;
  std::size_t progress_bytes_ = 0;
  /// When reading was paused for want of memory; nothing if it is not.
  std::optional<TimePoint> paused_since_;
  /// Whether bytes were received since the timer was set.
  bool has_received_ = false;
  /// Whether received bytes are dropped.
  bool is_discarding_ = false;
  bool is_reading_ = false;
  bool closes_after_response_ = false;
  bool closes_after_write_ = false;
  bool sent_continue_ = false;
  bool is_closed_ = false;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_SERVER_CONNECTION_H_
