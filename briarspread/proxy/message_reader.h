#ifndef BRIARSPREAD_PROXY_MESSAGE_READER_H_
#define BRIARSPREAD_PROXY_MESSAGE_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Why bytes are no message.
enum class ReadError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

/// Bounds on a message.
struct ReadLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;
};

/// Reads HTTP/1.1 messages from a connection's bytes, one after the other, and
/// refuses all that two readers could understand differently: both kinds of
/// length, bad chunks, bare line ends. Not thread-safe.
class MessageReader {
 public:
  enum class Kind { kRequest, kResponse };

  MessageReader(Kind kind, const ReadLimits& limits);
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  /// Takes bytes up to the end of one message. Returns how many were taken;
  /// the rest belongs to what follows. After an error nothing more is taken.
  std::size_t Feed(std::string_view bytes);
  /// Notes that the connection ended. True where that ends the message whole.
  bool FeedEnd();
  /// Makes ready for the next message. Precondition: `is_complete()`.
  void StartNext();
  /// The response is to a `HEAD` request and has no body.
  void ExpectNoBody() { expects_no_body_ = true; }

  bool has_head() const { return has_head_; }
  bool is_complete() const { return is_complete_; }
  ReadError error() const { return error_; }
  /// Whether any byte of the message was taken.
  bool has_started() const { return has_started_; }
  /// Whether the connection may carry another message.
  bool keeps_alive() const { return keeps_alive_; }

  /// The head; valid from `has_head` on. Only the one of the reader's kind.
  RequestHead& request() { return request_; }
  ResponseHead& response() { return response_; }
  /// Body bytes taken and not yet removed by the caller.
  std::string& body() { return body_; }

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
  HeaderList& headers();
  bool HasBareLineEnd(std::string_view bytes);

  const Kind kind_;
  const ReadLimits limits_;
  http_parser parser_{};
  RequestHead request_;
  ResponseHead response_;
  std::string body_;
  /// The header line being read.
  Header line_;
  bool is_value_ = false;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  /// The last byte of the head so far, to find line feeds that stand alone.
  char last_byte_ = 0;
  /// Bytes of the head's current line, its end left out.
  std::size_t line_bytes_ = 0;
  /// Whether a line that is not empty was seen.
  bool has_line_ = false;
  /// Whether the empty line after the head was seen.
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
