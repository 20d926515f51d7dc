#include "briarspread/proxy/upstream_connection.h"

#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <cerrno>
#include <utility>

namespace briarspread::proxy {
namespace {

/// Subtracted from an upstream's own idle timeout, so that a request is not
/// sent while the upstream closes the connection.
constexpr milliseconds kIdleMargin{500};
/// Maximum number of interim responses to one request; an upstream that sends
/// more is treated as faulty.
constexpr std::size_t kMaxInterimResponses = 8;
/// Number of echo values remembered per connection.
constexpr std::size_t kMaxRecentEchoes = 16;

std::optional<std::uint64_t> KeepAliveSeconds(const ResponseHead& head) {
  const std::string* line = head.headers.Find("Keep-Alive");
  if (line == nullptr) return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = line->find(kName);
  if (at == std::string::npos) return std::nullopt;
  const std::string_view rest =
      std::string_view{*line}.substr(at + kName.size());
  return ParseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
}

bool IsInterim(int status) { return status >= 100 && status < 200; }

}  // namespace

std::string_view ToString(CloseCause cause) {
  switch (cause) {
    case CloseCause::kNotConnected:
      return "not_connected";
    case CloseCause::kIdleTime:
      return "idle_time";
    case CloseCause::kIdleByUpstream:
      return "idle_by_upstream";
    case CloseCause::kNotReusable:
      return "answer_said";
    case CloseCause::kCancelled:
      return "cancelled";
    case CloseCause::kFailed:
      return "failed";
    case CloseCause::kClosedByPool:
      return "forgotten";
  }
  return "unknown";
}

UpstreamConnection::UpstreamConnection(
    const asio::any_io_executor& executor,
    const UpstreamConnectionSettings& settings, Endpoint to,
    ConnectionObserver* observer, OnReleased on_released)
    : socket_(executor),
      timer_(executor),
      settings_(settings),
      to_(std::move(to)),
      observer_(observer),
      on_released_(std::move(on_released)),
      reader_(MessageReader::Kind::kResponse, settings.limits),
      idle_timeout_(settings.idle_timeout) {}

void UpstreamConnection::Run(ExchangeRequest request,
                             ExchangeListener& listener) {
  assert(listener_ == nullptr && is_usable() && request.bytes.has_value());
  request_ = std::move(request);
  listener_ = &listener;
  interim_count_ = 0;
  body_bytes_ = 0;
  if (!request_.echo_value.empty()) {
    recent_echoes_.push_back(request_.echo_value);
    if (recent_echoes_.size() > kMaxRecentEchoes) recent_echoes_.pop_front();
  }
  is_head_processed_ = false;
  is_paused_ = false;
  has_lost_connection_ = false;
  started_ = std::chrono::steady_clock::now();
  if (request_.is_head_request) reader_.ExpectNoBody();
  if (is_connected_) {
    is_reused_ = true;
    Send();
    return;
  }
  Connect();
}

bool UpstreamConnection::IsStale() {
  char byte = 0;
  const ssize_t n =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool UpstreamConnection::HasRecentEcho(const std::string& echo_value) const {
  return !echo_value.empty() &&
         std::find(recent_echoes_.begin(), recent_echoes_.end(), echo_value) !=
             recent_echoes_.end();
}

void UpstreamConnection::Connect() {
  asio::error_code ec;
  const auto address = asio::ip::make_address(to_.host, ec);
  if (ec) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Fail(ExchangeFault::kNotConnected, Verdict::kNotRun);
    });
    return;
  }
  milliseconds limit = request_.connect_timeout.count() > 0
                           ? request_.connect_timeout
                           : settings_.connect_timeout;
  if (request_.timeout.count() > 0) limit = std::min(limit, request_.timeout);
  SetTimer(limit, ExchangeFault::kNotConnected, Verdict::kNotRun);
  socket_.async_connect(
      asio::ip::tcp::endpoint(address, to_.port),
      [self = shared_from_this(), limit](asio::error_code error) {
        if (self->is_closed_) return;
        // After a pause of the process, this may run before the timer does. The
        // request may have become obsolete meanwhile.
        const bool is_late =
            std::chrono::steady_clock::now() - self->started_ > limit;
        self->is_refused_ = error == asio::error::connection_refused;
        if (error || (is_late && self->listener_ != nullptr)) {
          self->Fail(ExchangeFault::kNotConnected, Verdict::kNotRun);
          return;
        }
        SetSocketOptions(self->socket_, self->settings_.dead_peer);
        self->is_connected_ = true;
        if (self->observer_ != nullptr) self->observer_->OnConnected(self->to_);
        if (self->listener_ == nullptr) {
          self->BecomeIdle();
        } else {
          self->Send();
        }
      });
}

void UpstreamConnection::SetTimer(milliseconds after, ExchangeFault fault,
                                  Verdict verdict) {
  timer_.expires_after(after);
  timer_.async_wait(
      [self = shared_from_this(), fault, verdict](asio::error_code ec) {
        if (!ec && !self->is_closed_) self->Fail(fault, verdict);
      });
}

void UpstreamConnection::Send() {
  if (request_.timeout.count() > 0) {
    const auto spent = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - started_);
    SetTimer(std::max(request_.timeout - spent, milliseconds(1)),
             ExchangeFault::kTimedOut, Verdict::kMayHaveRun);
  } else {
    timer_.cancel();
  }
  is_writing_ = true;
  // The bytes outlive the write, whatever ends the exchange.
  const auto bytes = std::make_shared<const std::string>(
      std::move(*request_.bytes).TakeText());
  request_.bytes.reset();
  const auto body = std::exchange(request_.body, nullptr);
  const std::array<asio::const_buffer, 2> all = {
      asio::buffer(*bytes),
      body == nullptr ? asio::const_buffer() : asio::buffer(*body)};
  asio::async_write(
      socket_, all,
      [self = shared_from_this(), bytes, body](
          asio::error_code ec, std::size_t) { self->OnWritten(ec); });
  Read();
}

void UpstreamConnection::OnWritten(asio::error_code ec) {
  is_writing_ = false;
  if (!ec || is_closed_ || listener_ == nullptr) return;
  LOG(WARNING) << "event=request_not_written to=" << to_.host << ":" << to_.port
               << " request=" << request_.echo_value
               << " answer_begun=" << reader_.has_started()
               << " error=" << ec.message();
  // After a regular close by the upstream, a write fails with a broken pipe.
  has_lost_connection_ = ec != asio::error::broken_pipe;
  // A response may arrive before the request is sent completely. After a failed
  // write the read side then determines how the exchange ends.
  if (!reader_.has_started()) {
    Fail(ExchangeFault::kBroken, Verdict::kMayHaveRun);
  }
}

void UpstreamConnection::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  if (!is_paused) Read();
}

void UpstreamConnection::Read() {
  if (is_reading_ || is_closed_ || is_paused_) return;
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(buf_),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->is_reading_ = false;
        if (!self->is_closed_) self->OnRead(ec, n);
      });
}

void UpstreamConnection::OnRead(asio::error_code ec, std::size_t n) {
  if (listener_ == nullptr) {
    // Bytes or a close while no request is in flight: nothing received can be
    // used.
    Close(CloseCause::kIdleByUpstream);
    return;
  }
  if (!ec) {
    ProcessBytes(std::string_view(buf_.data(), n));
    if (!is_closed_) Read();
    return;
  }
  // Only a regular close can delimit a response; after a reset the response
  // counts as truncated.
  const bool is_regular_close = ec == asio::error::eof && !has_lost_connection_;
  if (is_regular_close && reader_.FeedEnd() && ProcessHead()) {
    DeliverBody();
    Finish();
    return;
  }
  if (!is_closed_) Fail(ExchangeFault::kBroken, Verdict::kMayHaveRun);
}

void UpstreamConnection::ProcessBytes(std::string_view bytes) {
  while (!bytes.empty() && !is_closed_) {
    const std::size_t n = reader_.Feed(bytes);
    bytes.remove_prefix(n);
    if (reader_.error() != ReadError::kNone) {
      Fail(ExchangeFault::kGarbled, Verdict::kMayHaveRun);
      return;
    }
    if (reader_.is_complete() && IsInterim(reader_.response().status)) {
      if (!SkipInterim()) return;
      continue;
    }
    if (reader_.has_head() && !ProcessHead()) return;
    DeliverBody();
    if (is_closed_ || listener_ == nullptr) return;
    if (reader_.is_complete()) {
      // Bytes after a complete response belong to no request, so the connection
      // is not reused.
      if (!bytes.empty()) can_be_reused_ = false;
      Finish();
      return;
    }
    if (n == 0) return;
  }
}

bool UpstreamConnection::SkipInterim() {
  if (++interim_count_ > kMaxInterimResponses) {
    Fail(ExchangeFault::kGarbled, Verdict::kMayHaveRun);
    return false;
  }
  reader_.StartNext();
  if (request_.is_head_request) reader_.ExpectNoBody();
  return true;
}

bool UpstreamConnection::IsEchoAcceptable(const ResponseHead& head) const {
  if (request_.echo_name.empty()) return true;
  const std::string* echo = head.headers.Find(request_.echo_name);
  if (echo != nullptr) return *echo == request_.echo_value;
  // On a reused connection, a response without the echo header may be a late
  // duplicate of an earlier response.
  return !is_reused_;
}

bool UpstreamConnection::ProcessHead() {
  if (is_head_processed_) return true;
  const ResponseHead& head = reader_.response();
  if (IsInterim(head.status)) return true;
  if (!IsEchoAcceptable(head)) {
    Fail(ExchangeFault::kGarbled, Verdict::kMayHaveRun);
    return false;
  }
  is_head_processed_ = true;
  if (observer_ != nullptr) observer_->OnResponseHead(to_);
  idle_timeout_ = IdleTimeout(head);
  listener_->OnHead(head);
  return !is_closed_ && listener_ != nullptr;
}

void UpstreamConnection::DeliverBody() {
  if (listener_ == nullptr || reader_.body().empty()) return;
  const std::string data = std::exchange(reader_.body(), {});
  body_bytes_ += data.size();
  if (request_.max_body_bytes > 0 && body_bytes_ > request_.max_body_bytes) {
    Fail(ExchangeFault::kGarbled, Verdict::kMayHaveRun);
    return;
  }
  listener_->OnBody(data);
}

milliseconds UpstreamConnection::IdleTimeout(const ResponseHead& head) const {
  const auto limit = KeepAliveSeconds(head);
  if (!limit.has_value()) return settings_.idle_timeout;
  const milliseconds own_timeout = seconds(*limit) - kIdleMargin;
  return std::min(settings_.idle_timeout, own_timeout);
}

void UpstreamConnection::Finish() {
  if (listener_ == nullptr) return;
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  // After an early response the upstream still expects the rest of the body.
  const bool is_reusable = reader_.keeps_alive() && can_be_reused_ &&
                           !is_writing_ && idle_timeout_.count() > 0 &&
                           !reader_.body().size();
  timer_.cancel();
  if (is_reusable) {
    reader_.StartNext();
    BecomeIdle();
  } else {
    Close(CloseCause::kNotReusable);
  }
  listener->OnEnd();
}

void UpstreamConnection::BecomeIdle() {
  timer_.expires_after(idle_timeout_);
  timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec && self->listener_ == nullptr) self->Close(CloseCause::kIdleTime);
  });
  Read();
  if (on_released_) on_released_(shared_from_this());
}

void UpstreamConnection::Close(CloseCause cause) {
  if (is_closed_) return;
  is_closed_ = true;
  close_cause_ = cause;
  listener_ = nullptr;
  timer_.cancel();
  asio::error_code ec;
  socket_.close(ec);
  if (const auto on_released = std::exchange(on_released_, nullptr)) {
    on_released(shared_from_this());
  }
}

void UpstreamConnection::Fail(ExchangeFault fault, Verdict verdict) {
  ExchangeListener* listener = listener_;
  if (observer_ != nullptr && fault == ExchangeFault::kNotConnected) {
    observer_->OnNotConnected(to_);
  }
  ExchangeFailure failure{fault, verdict};
  failure.was_reused_connection =
      is_reused_ && !reader_.has_started() && fault == ExchangeFault::kBroken;
  failure.was_refused = is_refused_;
  Close(fault == ExchangeFault::kNotConnected ? CloseCause::kNotConnected
                                              : CloseCause::kFailed);
  if (listener != nullptr) listener->OnFailure(failure);
}

}  // namespace briarspread::proxy
