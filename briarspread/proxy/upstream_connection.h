#ifndef BRIARSPREAD_PROXY_UPSTREAM_CONNECTION_H_
#define BRIARSPREAD_PROXY_UPSTREAM_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"
#include "briarspread/proxy/connection_observer.h"
#include "briarspread/proxy/exchange.h"
#include "briarspread/proxy/message_bytes.h"
#include "briarspread/proxy/message_reader.h"
#include "briarspread/proxy/socket_options.h"

namespace briarspread::proxy {

/// Timeouts and limits of connections to upstreams.
struct UpstreamConnectionSettings {
  /// Maximum time to establish a connection.
  milliseconds connect_timeout{400};
  /// Maximum idle time of a connection; a shorter `Keep-Alive` timeout sent by
  /// the upstream takes precedence.
  milliseconds idle_timeout{20000};
  DeadPeerSettings dead_peer;
  ReadLimits limits;
};

/// Why a connection to an upstream was closed.
enum class CloseCause {
  /// It could not be established.
  kNotConnected,
  /// It reached its maximum idle time.
  kIdleTime,
  /// The upstream closed it while it was idle, or sent bytes while no response
  /// was expected.
  kIdleByUpstream,
  /// The response does not permit reuse of the connection, for example because
  /// of `Connection: close` or a body delimited by the close.
  kNotReusable,
  /// Its exchange was cancelled.
  kCancelled,
  /// Its exchange failed.
  kFailed,
  /// The pool closed it while idle because its upstream is leaving or was
  /// removed, or the pool was destroyed.
  kClosedByPool,
};

/// Returns the name of a cause as used in logs and metrics. Thread-safe.
std::string_view ToString(CloseCause cause);

/// The request of one exchange and how to send it.
struct ExchangeRequest {
  Endpoint to;
  /// The bytes of the request, without those of `body`. Nothing if they could
  /// not be made: the exchange then fails and nothing is sent.
  std::optional<RequestBytes> bytes;
  /// The rest of the request's bytes, shared with its sender so that they are
  /// not copied; null if there is none.
  std::shared_ptr<const std::string> body = nullptr;
  /// Whether the method is `HEAD`, so that the response has no body whatever
  /// its head says.
  bool is_head_request = false;
  /// Maximum time to establish a connection; zero for the connection's limit.
  milliseconds connect_timeout{0};
  /// Whether an idle connection may carry the request.
  bool may_reuse_connection = true;
  /// Maximum time until the response is complete; zero for no limit.
  milliseconds timeout{0};
  /// Maximum size of the response's body; zero for the connection's limit.
  std::size_t max_body_bytes = 0;
  /// Name and value of the header that the response must repeat unchanged, so
  /// that it is matched to its request; empty for none.
  std::string echo_name;
  std::string echo_value;
};

/// A connection to an upstream that carries one exchange at a time. Not
/// thread-safe: use it on the event loop's thread only.
class UpstreamConnection final
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// Called when the connection becomes idle after an exchange, or is closed.
  using OnReleased = std::function<void(std::shared_ptr<UpstreamConnection>)>;

  /// Precondition: `observer` is null or outlives this object.
  UpstreamConnection(const asio::any_io_executor& executor,
                     const UpstreamConnectionSettings& settings, Endpoint to,
                     ConnectionObserver* observer, OnReleased on_released);

  /// Establishes the connection without an exchange. Precondition: nothing was
  /// started yet.
  void Open() { Connect(); }
  /// Starts an exchange, establishing the connection first if needed.
  /// Precondition: no other exchange is in flight, `is_usable()`, and the
  /// request has bytes.
  void Run(ExchangeRequest request, ExchangeListener& listener);
  /// Closes the connection without a call to the exchange's listener.
  void Close(CloseCause cause);
  /// Why the connection was closed. Precondition: `!is_usable()`.
  CloseCause close_cause() const { return close_cause_; }
  void SetPaused(bool is_paused);

  bool is_usable() const { return !is_closed_; }
  /// Whether the idle connection was closed by the upstream or has received
  /// bytes, even if the loop has not processed that yet. Precondition: no
  /// exchange is in flight.
  bool IsStale();
  const Endpoint& endpoint() const { return to_; }
  /// Whether one of the connection's latest requests had this echo value; false
  /// for an empty value.
  bool HasRecentEcho(const std::string& echo_value) const;

 private:
  void Connect();
  void Send();
  void OnWritten(asio::error_code ec);
  void Read();
  void OnRead(asio::error_code ec, std::size_t n);
  void ProcessBytes(std::string_view bytes);
  bool ProcessHead();
  bool IsEchoAcceptable(const ResponseHead& head) const;
  /// Skips an interim response; fails the exchange and returns false if there
  /// were too many.
  bool SkipInterim();
  void DeliverBody();
  void Finish();
  void BecomeIdle();
  void Fail(ExchangeFault fault, Verdict verdict);
  void SetTimer(milliseconds after, ExchangeFault fault, Verdict verdict);
  milliseconds IdleTimeout(const ResponseHead& head) const;

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const UpstreamConnectionSettings& settings_;
  const Endpoint to_;
  ConnectionObserver* const observer_;
  OnReleased on_released_;
  MessageReader reader_;
  ExchangeRequest request_;
  /// Echo values of the latest requests, the oldest first.
  std::deque<std::string> recent_echoes_;
  /// Number of interim responses to the current request.
  std::size_t interim_count_ = 0;
  /// Bytes of the current response's body.
  std::size_t body_bytes_ = 0;
  /// Listener of the exchange in flight; null while idle.
  ExchangeListener* listener_ = nullptr;
  std::array<char, 16384> buf_{};
  /// Maximum idle time after the current exchange.
  milliseconds idle_timeout_;
  TimePoint started_{};
  bool is_connected_ = false;
  /// Whether no process listens at the address.
  bool is_refused_ = false;
  /// Whether the current request is being written.
  bool is_writing_ = false;
  /// Whether a write reported a reset or another loss of the connection. The
  /// system reports it once; reads then end as after a regular close.
  bool has_lost_connection_ = false;
  bool is_reused_ = false;
  bool is_head_processed_ = false;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_closed_ = false;
  bool can_be_reused_ = true;
  CloseCause close_cause_ = CloseCause::kClosedByPool;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_UPSTREAM_CONNECTION_H_
