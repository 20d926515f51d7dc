#ifndef BRIARSPREAD_PROXY_UPSTREAM_CONNECTION_H_
#define BRIARSPREAD_PROXY_UPSTREAM_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"
#include "briarspread/proxy/exchange.h"
#include "briarspread/proxy/message_reader.h"
#include "briarspread/proxy/socket_options.h"

namespace briarspread::proxy {

/// Settings of connections to upstreams.
struct UpstreamConnectionSettings {
  /// The longest time for a connection to come about.
  milliseconds connect_timeout{400};
  /// How long a connection may stay idle; an upstream's own shorter time goes
  /// first.
  milliseconds idle_timeout{20000};
  DeadPeerSettings dead_peer;
  ReadLimits limits;
};

/// Why a connection to an upstream ended.
enum class CloseCause {
  /// None came about.
  kNotConnected,
  /// It was idle for as long as is allowed.
  kIdleTime,
  /// The upstream ended it while it was idle, or sent bytes that nobody
  /// awaited.
  kIdleByUpstream,
  /// The answer said that it ends, or its body was delimited by the end.
  kAnswerSaid,
  /// Its exchange was cancelled.
  kCancelled,
  /// Its exchange failed.
  kFailed,
  /// Its upstream leaves or is gone.
  kForgotten,
};

/// The name of a cause in logs and metrics. Thread-safe.
std::string_view ToString(CloseCause cause);

/// What is sent in one exchange.
struct ExchangeOrder {
  Endpoint to;
  /// The whole request.
  std::string bytes;
  /// Whether the response has no body whatever its head says.
  bool is_head = false;
  /// The longest time until the response is whole; zero for none.
  milliseconds timeout{0};
  /// The header that must come back as it was sent, and its value; empty for
  /// none.
  std::string echo_name;
  std::string echo_value;
};

/// A connection to an upstream that carries one exchange at a time. Loop's
/// thread only.
class UpstreamConnection final
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// Told when the connection is free again, or ended.
  using OnIdle = std::function<void(std::shared_ptr<UpstreamConnection>)>;

  UpstreamConnection(const asio::any_io_executor& executor,
                     const UpstreamConnectionSettings& settings, Endpoint to,
                     OnIdle on_idle);

  /// Runs an exchange, connecting first where that is needed. Precondition:
  /// no other is under way and `is_usable()`.
  void Run(ExchangeOrder order, ExchangeListener& listener);
  /// Ends the connection without a word to the listener.
  void Close(CloseCause cause);
  /// Why it ended. Precondition: `!is_usable()`.
  CloseCause close_cause() const { return close_cause_; }
  void SetPaused(bool is_paused);

  bool is_usable() const { return !is_closed_; }
  const Endpoint& endpoint() const { return to_; }
  /// Whether a request with this echo value went over it lately; false for an
  /// empty one.
  bool HasCarried(const std::string& echo_value) const;

 private:
  void Connect();
  void Send();
  void Read();
  void OnRead(asio::error_code ec, std::size_t n);
  void Take(std::string_view bytes);
  bool TakeHead();
  bool IsEchoFine(const ResponseHead& head) const;
  /// Takes an interim response; false where there were too many.
  bool TakeInterim();
  void Deliver();
  void Finish();
  void NoteIdle();
  void Fail(ExchangeFault fault, Verdict verdict);
  void SetTimer(milliseconds after, ExchangeFault fault, Verdict verdict);
  milliseconds IdleTime(const ResponseHead& head) const;

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const UpstreamConnectionSettings& settings_;
  const Endpoint to_;
  OnIdle on_idle_;
  MessageReader reader_;
  ExchangeOrder order_;
  /// Echo values of the latest requests, the oldest first.
  std::deque<std::string> carried_;
  /// Interim responses of the current exchange.
  std::size_t interim_count_ = 0;
  /// Null while idle.
  ExchangeListener* listener_ = nullptr;
  std::array<char, 16384> buf_{};
  /// How long it may stay idle after the current exchange.
  milliseconds idle_time_;
  TimePoint started_{};
  bool is_connected_ = false;
  bool was_used_ = false;
  bool is_head_taken_ = false;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_closed_ = false;
  bool may_be_kept_ = true;
  CloseCause close_cause_ = CloseCause::kForgotten;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_UPSTREAM_CONNECTION_H_
