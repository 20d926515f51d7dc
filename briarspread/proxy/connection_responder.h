#ifndef BRIARSPREAD_PROXY_CONNECTION_RESPONDER_H_
#define BRIARSPREAD_PROXY_CONNECTION_RESPONDER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "briarspread/proxy/message_bytes.h"
#include "briarspread/proxy/server_connection.h"

namespace briarspread::proxy {

/// Writes the response to one request of a connection. Its functions have no
/// effect once the response has ended or the connection is closed. Not
/// thread-safe: use it on the event loop's thread only.
class ServerConnection::ConnectionResponder final : public Responder {
 public:
  ConnectionResponder(std::shared_ptr<ServerConnection> connection,
                      bool is_head_request);

  void Send(const Response& response) override;
  void Start(const ResponseHead& head) override;
  void Write(std::string_view data) override;
  void End() override;
  void Abort() override;
  std::size_t unsent() const override;
  void SetOnDrained(std::function<void()> on_drained) override;
  void SetOnDisconnect(std::function<void()> on_disconnect) override;

  /// Whether the head of a response that arrives in parts was sent.
  bool has_begun() const { return has_begun_; }
  /// Called when the connection is closed before the response has ended.
  void OnClose();
  void OnDrained();

 private:
  /// Closes the connection in place of a response that must not be sent.
  void AbortInvalid(int status);
  /// Closes the connection where the body isn't as long as its head says.
  void AbortMisfit(std::size_t written);
  Framing FramingOf(int status, bool has_length) const;
  void Finish();

  /// Null once the response has ended or the connection is closed.
  std::shared_ptr<ServerConnection> connection_;
  const bool is_head_request_;
  /// How the body that arrives in parts is delimited.
  Framing framing_ = Framing::kNoBody;
  /// Bytes of the announced length that are still to be written.
  std::size_t left_ = 0;
  bool has_begun_ = false;
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_CONNECTION_RESPONDER_H_
