#include "briarspread/proxy/head_validation.h"

#include <algorithm>

namespace briarspread::proxy {
namespace {

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
constexpr char kDelete = 0x7f;

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

bool IsTokenCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         kTokenSymbols.find(c) != std::string_view::npos;
}

/// Returns the number of lines named `name`.
std::size_t CountLines(const HeaderList& headers, std::string_view name) {
  const auto& lines = headers.lines();
  return static_cast<std::size_t>(
      std::count_if(lines.begin(), lines.end(), [name](const Header& line) {
        return EqualsIgnoreCase(line.name, name);
      }));
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsHeaderValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return c != '\t' && IsControl(c); });
}

bool IsRequestTarget(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    return c == ' ' || IsControl(c);
  });
}

bool HasValidText(const HeaderList& headers) {
  const auto& lines = headers.lines();
  return std::all_of(lines.begin(), lines.end(), [](const Header& line) {
    return IsToken(line.name) && IsHeaderValue(line.value);
  });
}

bool IsFramingUnambiguous(const HeaderList& headers) {
  constexpr std::string_view kCoding = "Transfer-Encoding";
  constexpr std::string_view kLength = "Content-Length";
  if (CountLines(headers, kCoding) > 1 || CountLines(headers, kLength) > 1) {
    return false;
  }
  const std::string* coding = headers.Find(kCoding);
  if (coding != nullptr && !EqualsIgnoreCase(Trim(*coding), "chunked")) {
    return false;
  }
  const std::string* length = headers.Find(kLength);
  return length == nullptr || ParseNumber(Trim(*length)).has_value();
}

bool IsAcceptable(const RequestHead& head) {
  return head.method != "CONNECT" && IsRequestTarget(head.target) &&
         HasValidText(head.headers) && IsFramingUnambiguous(head.headers) &&
         CountLines(head.headers, "Host") <= 1;
}

bool IsAcceptable(const ResponseHead& head) {
  return IsStatus(head.status) && HasValidText(head.headers) &&
         IsFramingUnambiguous(head.headers);
}

}  // namespace briarspread::proxy
