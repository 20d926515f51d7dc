#include "briarspread/proxy/connection_responder.h"

#include <glog/logging.h>

#include <string>
#include <utility>

#include "briarspread/proxy/message_bytes.h"

namespace briarspread::proxy {
ServerConnection::ConnectionResponder::ConnectionResponder(
    std::shared_ptr<ServerConnection> connection, bool is_head_request)
    : connection_(std::move(connection)), is_head_request_(is_head_request) {}

void ServerConnection::ConnectionResponder::Send(const Response& response) {
  if (connection_ == nullptr) return;
  const bool keep_alive = !connection_->closes_after_response_;
  const bool has_no_body = !StatusHasBody(response.head.status);
  ResponseHead head = response.head;
  head.headers.RemoveHopByHop();
  auto bytes =
      SerializeHead(head, has_no_body ? Framing::kNoBody : Framing::kLength,
                    response.body.size(), keep_alive);
  if (!bytes.has_value()) {
    AbortInvalid(head.status);
    return;
  }
  if (!is_head_request_ && !has_no_body) *bytes += response.body;
  connection_->Queue(*bytes);
  Finish();
}

void ServerConnection::ConnectionResponder::Start(const ResponseHead& head) {
  if (connection_ == nullptr) return;
  ResponseHead out = head;
  const auto length = out.headers.FindNumber("Content-Length");
  out.headers.RemoveHopByHop();
  framing_ = FramingOf(head.status, length.has_value());
  left_ = length.value_or(0);
  const auto bytes =
      SerializeHead(out, framing_, left_, !connection_->closes_after_response_);
  if (!bytes.has_value()) {
    AbortInvalid(out.status);
    return;
  }
  has_begun_ = true;
  connection_->Queue(*bytes);
}

Framing ServerConnection::ConnectionResponder::FramingOf(
    int status, bool has_length) const {
  if (!StatusHasBody(status)) return Framing::kNoBody;
  if (has_length) return Framing::kLength;
  return is_head_request_ ? Framing::kNoBody : Framing::kChunked;
}

void ServerConnection::ConnectionResponder::Write(std::string_view data) {
  if (connection_ == nullptr || data.empty()) return;
  if (is_head_request_ || framing_ == Framing::kNoBody) return;
  if (framing_ == Framing::kChunked) {
    connection_->Queue(SerializeChunk(data));
    return;
  }
  if (data.size() > left_) {
    // The rest would be taken for the next response.
    AbortMisfit(data.size());
    return;
  }
  left_ -= data.size();
  connection_->Queue(data);
}

void ServerConnection::ConnectionResponder::End() {
  if (connection_ == nullptr) return;
  if (framing_ == Framing::kChunked) connection_->Queue(SerializeChunk({}));
  if (framing_ == Framing::kLength && !is_head_request_ && left_ > 0) {
    AbortMisfit(0);
    return;
  }
  Finish();
}

void ServerConnection::ConnectionResponder::Abort() {
  if (connection_ == nullptr) return;
  const auto connection = std::exchange(connection_, nullptr);
  on_disconnect_ = nullptr;
  connection->responder_ = nullptr;
  connection->Close();
}

std::size_t ServerConnection::ConnectionResponder::unsent() const {
  if (connection_ == nullptr) return 0;
  return connection_->out_.size() + connection_->writing_.size();
}

void ServerConnection::ConnectionResponder::SetOnDrained(
    std::function<void()> on_drained) {
  on_drained_ = std::move(on_drained);
}

void ServerConnection::ConnectionResponder::SetOnDisconnect(
    std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
}

void ServerConnection::ConnectionResponder::OnClose() {
  connection_ = nullptr;
  on_drained_ = nullptr;
  const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
  if (on_disconnect) on_disconnect();
}

void ServerConnection::ConnectionResponder::OnDrained() {
  if (const auto on_drained = on_drained_) on_drained();
}

void ServerConnection::ConnectionResponder::AbortInvalid(int status) {
  LOG(ERROR) << "event=response_invalid status=" << status;
  Abort();
}

void ServerConnection::ConnectionResponder::AbortMisfit(std::size_t written) {
  LOG(ERROR) << "event=response_length_wrong bytes_left=" << left_
             << " bytes_written=" << written;
  Abort();
}

void ServerConnection::ConnectionResponder::Finish() {
  const auto connection = std::exchange(connection_, nullptr);
  on_disconnect_ = nullptr;
  on_drained_ = nullptr;
  connection->FinishResponse();
}

}  // namespace briarspread::proxy
