#ifndef BRIARSPREAD_PROXY_MESSAGE_READER_H_
#define BRIARSPREAD_PROXY_MESSAGE_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Why received bytes were rejected as a message.
enum class ReadError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

/// Limits on the size of one message.
struct ReadLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;
};

/// Incremental HTTP/1.1 parser for the successive messages of one connection.
/// Rejects messages that two parsers could interpret differently: heads that
/// are not `IsAcceptable`, both `Content-Length` and `Transfer-Encoding`,
/// malformed chunks and, in a head, continued lines and a carriage return or a
/// line feed without the other. Not thread-safe.
class MessageReader {
 public:
  enum class Kind { kRequest, kResponse };

  MessageReader(Kind kind, const ReadLimits& limits);
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  /// Parses bytes up to the end of the current message and returns the number
  /// of bytes consumed; the rest belongs to the next message. After an error,
  /// further calls consume nothing.
  std::size_t Feed(std::string_view bytes);
  /// Signals that the connection was closed. Returns whether the current
  /// message is complete, for example because the close delimits its body.
  bool FeedEnd();
  /// Resets the reader for the next message. Precondition: `is_complete()`.
  void StartNext();
  /// Declares that the current response answers a `HEAD` request and therefore
  /// has no body.
  void ExpectNoBody() { expects_no_body_ = true; }

  bool has_head() const { return has_head_; }
  bool is_complete() const { return is_complete_; }
  ReadError error() const { return error_; }
  /// Whether any byte of the current message was received.
  bool has_started() const { return has_started_; }
  /// Whether the connection may carry another message.
  bool keeps_alive() const { return keeps_alive_; }

  /// The current message's head, valid once `has_head()`. Only the accessor for
  /// the reader's `Kind` may be used.
  RequestHead& request() { return request_; }
  ResponseHead& response() { return response_; }
  /// Body bytes received and not yet removed by the caller.
  std::string& body() { return body_; }
  /// Estimate of the memory that the current message's head occupies.
  std::size_t head_memory() const;

 private:
  static int OnUrl(http_parser* parser, const char* at, std::size_t n);
  static int OnField(http_parser* parser, const char* at, std::size_t n);
  static int OnValue(http_parser* parser, const char* at, std::size_t n);
  static int OnHeadEnd(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t n);
  static int OnEnd(http_parser* parser);
  static const http_parser_settings& Callbacks();
  static MessageReader& Self(http_parser* parser) {
    return *static_cast<MessageReader*>(parser->data);
  }

  void FlushLine();
  /// Allocates memory for the rest of a large body, so that it is not copied
  /// as it grows. Its pages are used only once bytes arrive.
  void ReserveBody(std::size_t n);
  HeaderList& headers();
  /// Whether a line of the head has a carriage return or a line feed without
  /// the other, or continues the line before it.
  bool HasAmbiguousLine(std::string_view bytes);
  bool IsHeadAcceptable() const;
  /// Keeps the beginning of a response's first line up to its status.
  void KeepStatusLine(std::string_view bytes);
  /// Whether the status has exactly three digits; the parser accepts others.
  bool HasStatusOfThreeDigits() const;

  const Kind kind_;
  const ReadLimits limits_;
  http_parser parser_{};
  RequestHead request_;
  ResponseHead response_;
  std::string body_;
  /// The header line being read.
  Header line_;
  bool is_reading_value_ = false;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  /// The beginning of a response's first line.
  std::string status_line_;
  /// The last byte of the head received so far, used to detect a
  /// carriage return or a line feed without the other.
  char last_byte_ = 0;
  /// Bytes of the head's current line, excluding the line end.
  std::size_t line_bytes_ = 0;
  /// Whether the head has a non-empty line so far.
  bool has_nonempty_line_ = false;
  /// Whether the empty line that ends the head was received.
  bool is_head_scanned_ = false;
  bool has_started_ = false;
  bool has_head_ = false;
  bool is_complete_ = false;
  bool keeps_alive_ = false;
  bool expects_no_body_ = false;
  ReadError error_ = ReadError::kNone;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_MESSAGE_READER_H_
