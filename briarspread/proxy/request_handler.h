#ifndef BRIARSPREAD_PROXY_REQUEST_HANDLER_H_
#define BRIARSPREAD_PROXY_REQUEST_HANDLER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Sends the response to one request. Used on the event loop's thread only.
/// Once the caller has disconnected or the response has ended, further calls do
/// nothing.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a complete response. Precondition: nothing was sent.
  virtual void Send(const Response& response) = 0;
  /// Sends the head of a response whose body follows. The body is delimited by
  /// `Content-Length` if `head` has a valid one, otherwise it is sent in
  /// chunks. Precondition: nothing was sent.
  virtual void Start(const ResponseHead& head) = 0;
  /// Sends a part of the body. Precondition: `Start` was called.
  virtual void Write(std::string_view data) = 0;
  /// Completes the body.
  virtual void End() = 0;
  /// Closes the connection, so that the caller can detect that the response
  /// is incomplete.
  virtual void Abort() = 0;
  /// Bytes queued on the connection that are not yet written to its socket.
  virtual std::size_t unsent() const = 0;
  /// Sets the callback for each write that leaves `unsent` low enough to send
  /// more; replaces an earlier callback.
  virtual void SetOnDrained(std::function<void()> on_drained) = 0;
  /// Sets the callback for the connection being closed before the response has
  /// ended; it is called at most once.
  virtual void SetOnDisconnect(std::function<void()> on_disconnect) = 0;
};

/// Handles the requests that a listener receives.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Handles one complete request. The response is sent through `responder`,
  /// during the call or later.
  virtual void OnRequest(Request request,
                         std::shared_ptr<Responder> responder) = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_REQUEST_HANDLER_H_
