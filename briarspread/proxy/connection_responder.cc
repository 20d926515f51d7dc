#include "briarspread/proxy/connection_responder.h"

#include <glog/logging.h>

#include <string>
#include <utility>

#include "briarspread/proxy/message_bytes.h"

namespace briarspread::proxy {
namespace {

bool HasStatusWithoutBody(int status) { return status == 204 || status == 304; }

}  // namespace

ServerConnection::ConnectionResponder::ConnectionResponder(
    std::shared_ptr<ServerConnection> connection, bool is_head_request)
    : connection_(std::move(connection)), is_head_request_(is_head_request) {}

void ServerConnection::ConnectionResponder::Send(const Response& response) {
  if (connection_ == nullptr) return;
  const bool keep_alive = !connection_->closes_after_response_;
  const bool has_no_body = HasStatusWithoutBody(response.head.status);
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
  is_chunked_ = !length.has_value();
  const auto bytes =
      SerializeHead(out, is_chunked_ ? Framing::kChunked : Framing::kLength,
                    length.value_or(0), !connection_->closes_after_response_);
  if (!bytes.has_value()) {
    AbortInvalid(out.status);
    return;
  }
  has_begun_ = true;
  connection_->Queue(*bytes);
}

void ServerConnection::ConnectionResponder::Write(std::string_view data) {
  if (connection_ == nullptr || data.empty()) return;
  connection_->Queue(is_chunked_ ? SerializeChunk(data) : std::string(data));
}

void ServerConnection::ConnectionResponder::End() {
  if (connection_ == nullptr) return;
  if (is_chunked_) connection_->Queue(SerializeChunk({}));
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

void ServerConnection::ConnectionResponder::Finish() {
  const auto connection = std::exchange(connection_, nullptr);
  on_disconnect_ = nullptr;
  on_drained_ = nullptr;
  connection->FinishResponse();
}

}  // namespace briarspread::proxy
