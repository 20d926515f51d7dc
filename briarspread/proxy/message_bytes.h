#ifndef BRIARSPREAD_PROXY_MESSAGE_BYTES_H_
#define BRIARSPREAD_PROXY_MESSAGE_BYTES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// The bytes of one request, or of its head if its body is sent from elsewhere.
/// Made from valid text only, so that no text received from a caller, a peer or
/// the store can add a header or a second request to it.
class RequestBytes final {
 public:
  /// Returns the bytes of a request whose body is delimited by
  /// `Content-Length`; nothing if the method, the target or a header has text
  /// that is not allowed there, or if a header delimits the body. Thread-safe.
  static std::optional<RequestBytes> Make(const RequestHead& head,
                                          std::string_view body);
  /// Returns the bytes of such a request's head. Thread-safe.
  static std::optional<RequestBytes> MakeHead(const RequestHead& head,
                                              std::size_t body_bytes);
  /// Takes over bytes that another instance made; nothing unless they are
  /// exactly one complete request. Thread-safe.
  static std::optional<RequestBytes> Parse(std::string bytes);

  const std::string& text() const { return text_; }
  std::string TakeText() && { return std::move(text_); }

 private:
  explicit RequestBytes(std::string text) : text_(std::move(text)) {}

  std::string text_;
};

/// How a message's body is delimited.
enum class Framing { kNoBody, kLength, kChunked };

/// Returns the bytes of a response's head; nothing if it has no valid status,
/// or if a header has text that is not allowed there or delimits the body.
/// `length` is the body's size in bytes, used with `Framing::kLength` only.
/// Thread-safe.
std::optional<std::string> SerializeHead(const ResponseHead& head,
                                         Framing framing, std::size_t length,
                                         bool keep_alive);
/// Returns the bytes of a response after which the connection is closed.
/// Precondition: the head was made by this program. Thread-safe.
std::string SerializeLast(const Response& response);
/// Returns one chunk of a chunked body; the terminating chunk if `data` is
/// empty. Thread-safe.
std::string SerializeChunk(std::string_view data);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_MESSAGE_BYTES_H_
