#include "briarspread/proxy/message_bytes.h"

#include <http_parser.h>

#include <array>
#include <cassert>
#include <charconv>

#include "briarspread/proxy/head_validation.h"
#include "briarspread/proxy/message_reader.h"

namespace briarspread::proxy {
namespace {

void AppendLines(std::string& out, const HeaderList& headers) {
  for (const Header& line : headers.lines()) {
    out.append(line.name).append(": ").append(line.value).append("\r\n");
  }
}

void AppendNumber(std::string& out, std::size_t n, int base) {
  std::array<char, 24> buf;
  const auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), n, base).ptr;
  out.append(buf.data(), end);
}

void AppendLength(std::string& out, std::size_t length) {
  out.append("Content-Length: ");
  AppendNumber(out, length, 10);
  out.append("\r\n");
}

std::string_view ReasonOf(int status) {
  switch (status) {
#define BRIARSPREAD_REASON(number, name, text) \
  case number:                                 \
    return #text;
    HTTP_STATUS_MAP(BRIARSPREAD_REASON)
#undef BRIARSPREAD_REASON
    default:
      return "Unknown";
  }
}

/// Whether a header that delimits the body is among `headers`; only this module
/// adds one.
bool HasFraming(const HeaderList& headers) {
  return headers.Find("Content-Length") != nullptr ||
         headers.Find("Transfer-Encoding") != nullptr;
}

bool MayBeSent(const HeaderList& headers) {
  return HasValidText(headers) && !HasFraming(headers);
}

}  // namespace

std::optional<RequestBytes> RequestBytes::MakeHead(const RequestHead& head,
                                                   std::size_t body_bytes) {
  if (!IsToken(head.method) || !IsRequestTarget(head.target) ||
      !MayBeSent(head.headers)) {
    return std::nullopt;
  }
  std::string out;
  out.reserve(256);
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  AppendLines(out, head.headers);
  if (body_bytes > 0 || (head.method != "GET" && head.method != "HEAD")) {
    AppendLength(out, body_bytes);
  }
  out.append("\r\n");
  return RequestBytes(std::move(out));
}

std::optional<RequestBytes> RequestBytes::Make(const RequestHead& head,
                                               std::string_view body) {
  auto bytes = MakeHead(head, body.size());
  if (bytes.has_value()) bytes->text_.append(body);
  return bytes;
}

std::optional<RequestBytes> RequestBytes::Parse(std::string bytes) {
  // The size of the body is limited by the message that brought the bytes.
  ReadLimits limits;
  limits.max_body_bytes = bytes.size();
  limits.max_head_bytes = bytes.size();
  MessageReader reader(MessageReader::Kind::kRequest, limits);
  const bool is_one_request =
      reader.Feed(bytes) == bytes.size() && reader.is_complete();
  if (!is_one_request) return std::nullopt;
  return RequestBytes(std::move(bytes));
}

std::optional<std::string> SerializeHead(const ResponseHead& head,
                                         Framing framing, std::size_t length,
                                         bool keep_alive) {
  if (!IsStatus(head.status) || !MayBeSent(head.headers)) return std::nullopt;
  std::string out = "HTTP/1.1 ";
  AppendNumber(out, static_cast<std::size_t>(head.status), 10);
  out.append(" ").append(ReasonOf(head.status)).append("\r\n");
  AppendLines(out, head.headers);
  if (framing == Framing::kChunked) out += "Transfer-Encoding: chunked\r\n";
  if (framing == Framing::kLength) AppendLength(out, length);
  if (!keep_alive) out.append("Connection: close\r\n");
  out.append("\r\n");
  return out;
}

std::string SerializeLast(const Response& response) {
  const auto head = SerializeHead(response.head, Framing::kLength,
                                  response.body.size(), false);
  assert(head.has_value());
  return *head + response.body;
}

std::string SerializeChunk(std::string_view data) {
  std::string out;
  AppendNumber(out, data.size(), 16);
  out.append("\r\n").append(data).append("\r\n");
  return out;
}

}  // namespace briarspread::proxy
