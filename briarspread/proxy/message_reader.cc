#include "briarspread/proxy/message_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "briarspread/proxy/head_validation.h"

namespace briarspread::proxy {
namespace {

/// Size of a body above which memory for the rest of it is allocated at once.
constexpr std::size_t kLargeBodyBytes = std::size_t{128} * 1024;
/// Where the status stands in the first line of a response, after the version.
constexpr std::ptrdiff_t kStatusBegin = sizeof("HTTP/1.1 ") - 1;
constexpr std::ptrdiff_t kStatusEnd = kStatusBegin + 3;
/// Memory of a header line beyond its characters: the object, and the spare
/// part of the growing list.
constexpr std::size_t kLineOverheadBytes = 3 * sizeof(Header);

}  // namespace

MessageReader::MessageReader(Kind kind, const ReadLimits& limits)
    : kind_(kind), limits_(limits) {
  http_parser_init(&parser_,
                   kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

const http_parser_settings& MessageReader::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &MessageReader::OnUrl;
    settings.on_header_field = &MessageReader::OnField;
    settings.on_header_value = &MessageReader::OnValue;
    settings.on_headers_complete = &MessageReader::OnHeadEnd;
    settings.on_body = &MessageReader::OnBody;
    settings.on_message_complete = &MessageReader::OnEnd;
    return settings;
  }();
  return callbacks;
}

bool MessageReader::HasAmbiguousLine(std::string_view bytes) {
  for (const char c : bytes) {
    if (is_head_scanned_) return false;
    const bool is_after_return = last_byte_ == '\r';
    if ((c == '\n') != is_after_return) return true;
    if ((c == ' ' || c == '\t') && last_byte_ == '\n') return true;
    if (c == '\n') {
      is_head_scanned_ = has_nonempty_line_ && line_bytes_ == 0;
      line_bytes_ = 0;
    } else if (c != '\r') {
      has_nonempty_line_ = true;
      ++line_bytes_;
    }
    last_byte_ = c;
  }
  return false;
}

std::size_t MessageReader::Feed(std::string_view bytes) {
  if (error_ != ReadError::kNone || is_complete_ || bytes.empty()) return 0;
  has_started_ = true;
  const bool was_in_head = !has_head_;
  if (was_in_head && kind_ == Kind::kResponse) KeepStatusLine(bytes);
  const std::size_t n =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  const http_errno ec = HTTP_PARSER_ERRNO(&parser_);
  if (was_in_head) {
    // The parser ends a head at a line that begins with a carriage return or a
    // line feed, whatever follows.
    if (HasAmbiguousLine(bytes)) {
      error_ = ReadError::kMalformed;
      return 0;
    }
    head_bytes_ += has_head_ ? 0 : n;
    if (head_bytes_ > limits_.max_head_bytes) error_ = ReadError::kHeadTooLarge;
  }
  if (is_complete_) {
    http_parser_pause(&parser_, 0);
    return n;
  }
  if (ec != HPE_OK && error_ == ReadError::kNone) {
    error_ = ec == HPE_HEADER_OVERFLOW ? ReadError::kHeadTooLarge
                                       : ReadError::kMalformed;
  }
  return n;
}

bool MessageReader::FeedEnd() {
  if (error_ != ReadError::kNone || is_complete_) return is_complete_;
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  return is_complete_;
}

void MessageReader::StartNext() {
  assert(is_complete_);
  http_parser_init(&parser_,
                   kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  request_ = {};
  response_ = {};
  body_.clear();
  line_ = {};
  is_reading_value_ = false;
  head_bytes_ = 0;
  body_bytes_ = 0;
  status_line_.clear();
  last_byte_ = 0;
  line_bytes_ = 0;
  has_nonempty_line_ = false;
  is_head_scanned_ = false;
  has_started_ = false;
  has_head_ = false;
  is_complete_ = false;
  keeps_alive_ = false;
  expects_no_body_ = false;
}

HeaderList& MessageReader::headers() {
  return kind_ == Kind::kRequest ? request_.headers : response_.headers;
}

std::size_t MessageReader::head_memory() const {
  const auto& lines = kind_ == Kind::kRequest ? request_.headers.lines()
                                              : response_.headers.lines();
  return head_bytes_ + lines.size() * kLineOverheadBytes;
}

void MessageReader::ReserveBody(std::size_t n) {
  const std::size_t size = body_.size() + n;
  if (size <= kLargeBodyBytes || size <= body_.capacity()) return;
  const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
  // The parser counts down the bytes that are still to come.
  const std::size_t all =
      has_length ? size + parser_.content_length : limits_.max_body_bytes;
  body_.reserve(std::max(size, std::min(all, limits_.max_body_bytes)));
}

void MessageReader::FlushLine() {
  if (!line_.name.empty()) {
    headers().Add(std::move(line_.name), std::move(line_.value));
  }
  line_ = {};
  is_reading_value_ = false;
}

int MessageReader::OnUrl(http_parser* parser, const char* at, std::size_t n) {
  Self(parser).request_.target.append(at, n);
  return 0;
}

int MessageReader::OnField(http_parser* parser, const char* at, std::size_t n) {
  MessageReader& self = Self(parser);
  // Header lines after the head are trailers, which are discarded.
  if (self.has_head_) return 0;
  if (self.is_reading_value_) self.FlushLine();
  self.line_.name.append(at, n);
  return 0;
}

int MessageReader::OnValue(http_parser* parser, const char* at, std::size_t n) {
  MessageReader& self = Self(parser);
  if (self.has_head_) return 0;
  self.is_reading_value_ = true;
  self.line_.value.append(at, n);
  return 0;
}

void MessageReader::KeepStatusLine(std::string_view bytes) {
  for (const char c : bytes) {
    if (status_line_.size() == kStatusEnd + 1) return;
    // The parser skips line ends before the first line.
    const bool is_line_end = c == '\r' || c == '\n';
    if (!status_line_.empty() || !is_line_end) status_line_.push_back(c);
  }
}

bool MessageReader::HasStatusOfThreeDigits() const {
  if (status_line_.size() <= kStatusEnd) return false;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  const auto begin = status_line_.begin();
  return std::all_of(begin + kStatusBegin, begin + kStatusEnd, is_digit) &&
         !is_digit(status_line_[kStatusEnd]);
}

bool MessageReader::IsHeadAcceptable() const {
  if (parser_.http_major != 1) return false;
  return kind_ == Kind::kRequest
             ? IsAcceptable(request_)
             : HasStatusOfThreeDigits() && IsAcceptable(response_);
}

int MessageReader::OnHeadEnd(http_parser* parser) {
  MessageReader& self = Self(parser);
  self.FlushLine();
  self.has_head_ = true;
  if (self.kind_ == Kind::kRequest) {
    self.request_.method =
        http_method_str(static_cast<http_method>(parser->method));
  } else {
    self.response_.status = parser->status_code;
  }
  if (!self.IsHeadAcceptable()) {
    self.error_ = ReadError::kMalformed;
    return -1;
  }
  if ((parser->flags & F_CONTENTLENGTH) != 0 &&
      parser->content_length > self.limits_.max_body_bytes) {
    self.error_ = ReadError::kBodyTooLarge;
    return -1;
  }
  return self.expects_no_body_ ? 1 : 0;
}

int MessageReader::OnBody(http_parser* parser, const char* at, std::size_t n) {
  MessageReader& self = Self(parser);
  self.body_bytes_ += n;
  if (self.body_bytes_ > self.limits_.max_body_bytes) {
    self.error_ = ReadError::kBodyTooLarge;
    return -1;
  }
  self.ReserveBody(n);
  self.body_.append(at, n);
  return 0;
}

int MessageReader::OnEnd(http_parser* parser) {
  MessageReader& self = Self(parser);
  self.is_complete_ = true;
  self.keeps_alive_ = http_should_keep_alive(parser) != 0;
  // Stops the parser before the bytes of the next message.
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace briarspread::proxy
