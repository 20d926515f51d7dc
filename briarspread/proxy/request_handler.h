#ifndef BRIARSPREAD_PROXY_REQUEST_HANDLER_H_
#define BRIARSPREAD_PROXY_REQUEST_HANDLER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Answers one request. Used on the loop's thread only. Once the caller is gone
/// or the answer has ended, further calls do nothing.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a whole answer. Precondition: nothing was sent.
  virtual void Send(const Response& response) = 0;
  /// Starts an answer whose body follows; by length where the head has one,
  /// else in chunks. Precondition: nothing was sent.
  virtual void Start(const ResponseHead& head) = 0;
  /// Sends a part of the body. Precondition: `Start` was called.
  virtual void Write(std::string_view data) = 0;
  /// Ends the body whole.
  virtual void End() = 0;
  /// Closes the connection, so that the answer is visibly broken.
  virtual void Abort() = 0;
  /// Bytes of the answer that the caller has not taken yet.
  virtual std::size_t unsent() const = 0;
  /// Called once `unsent` is low again; replaces what was set before.
  virtual void SetOnDrained(std::function<void()> on_drained) = 0;
  /// Called once where the caller goes away before the answer has ended.
  virtual void SetOnGone(std::function<void()> on_gone) = 0;
};

/// Takes the requests of a listener.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Takes one whole request; answers now or later through `responder`.
  virtual void OnRequest(Request request,
                         std::shared_ptr<Responder> responder) = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_REQUEST_HANDLER_H_
