#include "briarspread/proxy/server_connection.h"

#include <glog/logging.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <exception>
#include <utility>

#include "briarspread/proxy/connection_responder.h"
#include "briarspread/proxy/message_bytes.h"

namespace briarspread::proxy {
namespace {

/// Maximum number of unparsed bytes; reading pauses above it.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} * 1024;
/// Number of unsent bytes below which the drained callback is called.
constexpr std::size_t kLowWaterBytes = std::size_t{64} * 1024;

/// Memory of a connection without a request: its object, which has the read
/// buffer, and the smallest allocations.
constexpr std::size_t kConnectionBytes = std::size_t{16} * 1024;
/// Size of a body above which it counts as large.
constexpr std::size_t kSmallBodyBytes = std::size_t{64} * 1024;
/// Bytes by which the reservation of a large body grows.
constexpr std::size_t kReserveStep = std::size_t{64} * 1024;
/// Bytes that count as progress. With `ShedSettings::min_stall` this is a rate
/// at which a body of the maximum size would take more than an hour.
constexpr std::size_t kProgressBytes = std::size_t{16} * 1024;
/// Retry-After time of requests that are rejected for want of memory.
constexpr milliseconds kMemoryRetryAfter{1000};

}  // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   const ServerSettings& settings,
                                   RequestHandler& handler, OnClosed on_closed,
                                   OnPaused on_paused)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      settings_(settings),
      handler_(handler),
      on_closed_(std::move(on_closed)),
      on_paused_(std::move(on_paused)),
      reader_(MessageReader::Kind::kRequest, settings.limits),
      memory_(settings.memory, MemoryHolder::kConnections),
      unsent_memory_(settings.memory, MemoryHolder::kResponses),
      last_progress_(std::chrono::steady_clock::now()) {
  SetSocketOptions(socket_, settings.dead_peer);
}

bool ServerConnection::Reserve() {
  return memory_.TryGrowTo(kConnectionBytes, MemoryPriority::kOrdinary);
}

void ServerConnection::Start() {
  SetTimer();
  Read();
}

void ServerConnection::ReadAvailable() {
  asio::error_code ec;
  std::size_t left = socket_.available(ec);
  while (!ec && left > 0 && !is_closed_ &&
         unparsed_.size() <= kMaxUnparsedBytes) {
    std::array<char, 8192> bytes{};
    const std::size_t n = socket_.read_some(
        asio::buffer(bytes, std::min(left, bytes.size())), ec);
    unparsed_.append(bytes.data(), n);
    left = ec ? 0 : socket_.available(ec);
  }
  if (!is_closed_) ParseBuffered();
}

void ServerConnection::CloseWhenIdle() {
  closes_after_response_ = true;
  // The completion of a read may already be queued in the event loop; its bytes
  // are parsed first.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->CloseIfIdle(); });
}

void ServerConnection::CloseIfIdle() {
  if (is_closed_) return;
  // A request that has just arrived gets its response; closing now would reset
  // the connection.
  ReadAvailable();
  if (is_closed_) return;
  if (responder_ == nullptr && !reader_.has_started() && out_.empty() &&
      writing_.empty()) {
    Close();
  }
}

void ServerConnection::AnswerUnfinished() {
  if (is_closed_ || responder_ == nullptr || responder_->has_begun()) return;
  closes_after_response_ = true;
  responder_->Send(MakeResponse(504, "{\"error\":\"stopping\"}"));
}

void ServerConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  timer_.cancel();
  asio::error_code ec;
  socket_.close(ec);
  NotifyDisconnect();
  // The last operation in progress may keep the object for a while.
  body_memory_.reset();
  memory_.Release();
  std::string().swap(reader_.body());
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) {
    on_closed(this);
  }
}

void ServerConnection::NotifyDisconnect() {
  if (const auto active = std::exchange(responder_, nullptr)) active->OnClose();
}

void ServerConnection::SetTimer() {
  const bool is_arriving = reader_.has_started() && responder_ == nullptr;
  milliseconds limit = settings_.idle_timeout;
  if (is_arriving) {
    limit =
        reader_.has_head() ? settings_.body_timeout : settings_.header_timeout;
  }
  if (is_discarding_) limit = settings_.header_timeout;
  has_received_ = false;
  timer_.expires_after(limit);
  timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) self->OnTimer();
  });
}

void ServerConnection::OnTimer() {
  if (is_closed_) return;
  if (is_discarding_) {
    Close();
    return;
  }
  const bool is_body_arriving =
      reader_.has_head() && (has_received_ || paused_since_.has_value());
  if (responder_ != nullptr || !out_.empty() || !writing_.empty() ||
      is_body_arriving) {
    SetTimer();
    return;
  }
  if (reader_.has_started()) {
    Refuse(408);
    return;
  }
  Close();
}

void ServerConnection::Read() {
  if (is_reading_ || is_closed_ || unparsed_.size() > kMaxUnparsedBytes) return;
  if (!ReserveForRead()) {
    if (paused_since_.has_value()) return;
    paused_since_ = std::chrono::steady_clock::now();
    if (on_paused_) on_paused_();
    return;
  }
  paused_since_.reset();
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(buf_),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->is_reading_ = false;
        if (self->is_closed_) return;
        if (ec) {
          self->Close();
          return;
        }
        self->OnRead(n);
      });
}

bool ServerConnection::ReserveForRead() {
  if (is_discarding_) return true;
  const std::size_t own = kConnectionBytes + unparsed_.size() +
                          (reader_.has_started() ? reader_.head_memory() : 0);
  if (!memory_.TryGrowTo(own, MemoryPriority::kOrdinary)) return false;
  if (responder_ != nullptr || !reader_.has_head()) return true;
  const std::size_t body = reader_.body().size() + buf_.size();
  if (body_memory_ == nullptr) {
    body_memory_ = std::make_shared<MemoryReservation>(settings_.memory,
                                                       MemoryHolder::kRequests);
  }
  if (body <= kSmallBodyBytes) {
    return body_memory_->TryGrowTo(body, MemoryPriority::kOrdinary);
  }
  return body_memory_->TryGrowTo(
      (body + kReserveStep - 1) / kReserveStep * kReserveStep,
      MemoryPriority::kBulk);
}

void ServerConnection::RecordProgress(std::size_t n) {
  has_received_ = true;
  progress_bytes_ += n;
  if (progress_bytes_ < kProgressBytes) return;
  progress_bytes_ = 0;
  last_progress_ = std::chrono::steady_clock::now();
}

ConnectionLoad ServerConnection::LoadAt(TimePoint now) const {
  ConnectionLoad load;
  load.bytes = memory_.bytes() + unsent_memory_.bytes();
  if (body_memory_ != nullptr) load.bytes += body_memory_->bytes();
  load.stalled = now - last_progress_;
  if (!out_.empty() || !writing_.empty() || is_discarding_) {
    load.phase = ConnectionPhase::kSending;
  } else if (responder_ != nullptr) {
    load.phase = ConnectionPhase::kHandling;
  } else if (paused_since_.has_value()) {
    load.phase = ConnectionPhase::kPaused;
    load.stalled = now - *paused_since_;
  } else if (reader_.has_started()) {
    load.phase = ConnectionPhase::kReceiving;
  }
  return load;
}

void ServerConnection::ResumeReading() {
  if (paused_since_.has_value()) Read();
}

void ServerConnection::Shed() {
  if (is_closed_) return;
  const bool is_receiving = responder_ == nullptr && reader_.has_head() &&
                            !closes_after_write_ && out_.empty() &&
                            writing_.empty();
  if (!is_receiving) {
    Close();
    return;
  }
  DropRequest();
  Response response = MakeResponse(503, "{\"error\":\"overloaded\"}");
  SetRetryAfter(response, kMemoryRetryAfter);
  SendAndClose(response);
}

void ServerConnection::DropRequest() {
  std::string().swap(reader_.body());
  unparsed_.clear();
  body_memory_.reset();
  is_discarding_ = true;
  SetTimer();
  Read();
}

void ServerConnection::OnRead(std::size_t n) {
  if (is_discarding_) {
    Read();
    return;
  }
  RecordProgress(n);
  unparsed_.append(buf_.data(), n);
  ParseBuffered();
  Read();
}

void ServerConnection::ParseBuffered() {
  if (responder_ != nullptr || closes_after_write_ || unparsed_.empty()) return;
  const bool was_started = reader_.has_started();
  const bool has_head = reader_.has_head();
  const std::size_t n = reader_.Feed(unparsed_);
  unparsed_.erase(0, n);
  if (reader_.error() != ReadError::kNone) {
    RefuseByReadError();
    return;
  }
  if (reader_.is_complete()) {
    Dispatch();
    return;
  }
  if (reader_.has_head() && !sent_continue_ &&
      reader_.request().headers.Find("Expect") != nullptr) {
    sent_continue_ = true;
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!was_started || has_head != reader_.has_head()) SetTimer();
}

void ServerConnection::RefuseByReadError() {
  switch (reader_.error()) {
    case ReadError::kHeadTooLarge:
      Refuse(431);
      return;
    case ReadError::kBodyTooLarge:
      Refuse(413);
      return;
    default:
      Refuse(400);
  }
}

void ServerConnection::Refuse(int status) {
  SendAndClose(MakeResponse(status, "{\"error\":\"bad request\"}"));
}

void ServerConnection::SendAndClose(const Response& response) {
  closes_after_write_ = true;
  Queue(SerializeLast(response));
}

void ServerConnection::Dispatch() {
  if (!reader_.keeps_alive()) closes_after_response_ = true;
  Request request{std::move(reader_.request()), std::move(reader_.body()),
                  std::exchange(body_memory_, nullptr)};
  reader_.body().clear();
  if (request.memory != nullptr) request.memory->Set(request.body.size());
  const auto responder = std::make_shared<ConnectionResponder>(
      shared_from_this(), request.head.method == "HEAD");
  responder_ = responder;
  InvokeHandler(std::move(request), responder);
}

void ServerConnection::InvokeHandler(
    Request request, const std::shared_ptr<ConnectionResponder>& responder) {
  const std::string target = request.head.target;
  try {
    handler_.OnRequest(std::move(request), responder);
  } catch (const std::exception& error) {
    // A fault in one request must not end the process that serves all others.
    // Whether the request had an effect is unknown.
    LOG(ERROR) << "event=request_handler_failed target=\"" << target
               << "\" reason=\"" << error.what() << "\"";
    responder->Send(MakeResponse(500, "{\"error\":\"internal\"}"));
  }
}

void ServerConnection::FinishResponse() {
  responder_ = nullptr;
  if (closes_after_response_) {
    closes_after_write_ = true;
    Flush();
    return;
  }
  reader_.StartNext();
  memory_.Set(kConnectionBytes + unparsed_.size());
  last_progress_ = std::chrono::steady_clock::now();
  progress_bytes_ = 0;
  sent_continue_ = false;
  SetTimer();
  // Buffered bytes are parsed from the event loop, not from within the handler
  // that has just sent the response.
  if (!unparsed_.empty()) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->is_closed_) return;
      self->ParseBuffered();
      self->Read();
    });
  }
}

void ServerConnection::Queue(std::string_view bytes) {
  if (is_closed_) return;
  out_ += bytes;
  CountUnsent();
  Flush();
}

void ServerConnection::CountUnsent() {
  unsent_memory_.Set(out_.size() + writing_.size());
}

void ServerConnection::Flush() {
  if (!writing_.empty() || is_closed_) return;
  if (out_.empty()) {
    if (closes_after_write_) {
      asio::error_code ec;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
      // Closing with unread bytes would reset the connection, and the caller
      // might not receive the response.
      if (!is_discarding_) Close();
    }
    return;
  }
  writing_.swap(out_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        if (self->is_closed_) return;
        if (ec) {
          self->Close();
          return;
        }
        self->OnWritten(n);
      });
}

void ServerConnection::OnWritten(std::size_t n) {
  RecordProgress(n);
  // A large buffer would otherwise stay with the connection.
  if (writing_.capacity() > kLowWaterBytes) std::string().swap(writing_);
  writing_.clear();
  CountUnsent();
  const auto active = responder_;
  if (active != nullptr && out_.size() < kLowWaterBytes) active->OnDrained();
  Flush();
}

}  // namespace briarspread::proxy
