#include "briarspread/proxy/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace briarspread::proxy {
namespace {

constexpr std::array kHopByHop = {
    std::string_view("Connection"),
    std::string_view("Keep-Alive"),
    std::string_view("Transfer-Encoding"),
    std::string_view("TE"),
    std::string_view("Trailer"),
    std::string_view("Upgrade"),
    std::string_view("Proxy-Connection"),
    std::string_view("Content-Length"),
    std::string_view("Expect"),
};

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  c = ToLower(c);
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

std::optional<std::string> Decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[i + 1]);
    const int low = HexDigit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    out.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return out;
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
}

}  // namespace

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, n);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return n;
}

void HeaderList::Add(std::string name, std::string value) {
  lines_.push_back(Header{std::move(name), std::move(value)});
}

void HeaderList::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void HeaderList::Remove(std::string_view name) {
  std::erase_if(lines_, [name](const Header& line) {
    return EqualsIgnoreCase(line.name, name);
  });
}

const std::string* HeaderList::Find(std::string_view name) const {
  const auto it = std::find_if(
      lines_.begin(), lines_.end(),
      [name](const Header& line) { return EqualsIgnoreCase(line.name, name); });
  return it == lines_.end() ? nullptr : &it->value;
}

std::string_view HeaderList::MediaType() const {
  const std::string* line = Find("Content-Type");
  if (line == nullptr) return {};
  return std::string_view{*line}.substr(0, line->find_first_of("; "));
}

std::optional<std::uint64_t> HeaderList::FindNumber(
    std::string_view name) const {
  const std::string* value = Find(name);
  return value == nullptr ? std::nullopt : ParseNumber(*value);
}

void HeaderList::RemoveHopByHop() {
  std::vector<std::string> named;
  for (const Header& line : lines_) {
    if (!EqualsIgnoreCase(line.name, "Connection")) continue;
    std::string_view rest = line.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      named.emplace_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  for (const std::string& name : named) Remove(name);
  for (const std::string_view name : kHopByHop) Remove(name);
}

Response MakeResponse(int status, std::string json_body) {
  Response response;
  response.head.status = status;
  response.head.headers.Add("Content-Type", "application/json");
  response.body = std::move(json_body);
  return response;
}

void SetRetryAfter(Response& response, Duration after) {
  // Callers of this system accept fractional seconds.
  const auto ms = std::chrono::ceil<milliseconds>(after).count();
  std::string thousandths = std::to_string(ms % 1000);
  thousandths.insert(0, 3 - thousandths.size(), '0');
  response.head.headers.Set("Retry-After",
                            std::to_string(ms / 1000) + "." + thousandths);
}

Response MakeTextResponse(std::string text) {
  Response response;
  response.head.status = 200;
  response.head.headers.Add("Content-Type", "text/plain");
  response.body = std::move(text);
  return response;
}

Target SplitTarget(std::string_view target) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return Target{target, {}};
  return Target{target.substr(0, mark), target.substr(mark + 1)};
}

std::optional<std::string> FindParameter(std::string_view query,
                                         std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return Decode(pair.substr(equals + 1));
    }
    query = end == std::string_view::npos ? "" : query.substr(end + 1);
  }
  return std::nullopt;
}

std::string EncodeParameter(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      out.push_back(c);
      continue;
    }
    const auto n = static_cast<unsigned char>(c);
    out.push_back('%');
    out.push_back(kDigits[n >> 4]);
    out.push_back(kDigits[n & 15]);
  }
  return out;
}

}  // namespace briarspread::proxy
