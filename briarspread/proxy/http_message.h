#ifndef BRIARSPREAD_PROXY_HTTP_MESSAGE_H_
#define BRIARSPREAD_PROXY_HTTP_MESSAGE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/header.h"
#include "briarspread/core/memory_budget.h"

namespace briarspread::proxy {

using briarspread::Header;

/// The header lines of one message in the order received. Names are compared
/// case-insensitively. Not thread-safe.
class HeaderList {
 public:
  /// Appends a header line.
  void Add(std::string name, std::string value);
  /// Removes all lines named `name` and appends one with `value`.
  void Set(std::string_view name, std::string value);
  /// Removes all lines named `name`.
  void Remove(std::string_view name);
  /// Returns the value of the first line named `name`, or null.
  const std::string* Find(std::string_view name) const;
  /// Returns the value of the first line named `name` as an unsigned decimal
  /// number, or nothing if it is absent or malformed.
  std::optional<std::uint64_t> FindNumber(std::string_view name) const;
  /// Returns the media type in `Content-Type` without its parameters; empty if
  /// there is none. Valid until the list changes.
  std::string_view MediaType() const;
  /// Removes the headers that apply to a single connection only, including
  /// those listed in `Connection` lines.
  void RemoveHopByHop();

  const std::vector<Header>& lines() const { return lines_; }
  void Clear() { lines_.clear(); }

 private:
  std::vector<Header> lines_;
};

/// Returns `text` without spaces and tabs at its ends. Thread-safe.
std::string_view Trim(std::string_view text);

/// Whether two names are equal, ignoring ASCII case. Thread-safe.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Whether a number is a status that a response may have. Thread-safe.
constexpr bool IsStatus(int status) { return status >= 100 && status < 600; }

/// Whether a response with this status reports success. Thread-safe.
constexpr bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// Whether a response with this status has a body. Thread-safe.
constexpr bool StatusHasBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

/// Whether a caller takes this status as a promise that its request has not run
/// and never will. Thread-safe.
constexpr bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Parses all of `text` as an unsigned decimal number; returns nothing if it is
/// malformed. Thread-safe.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// The head of a request.
struct RequestHead {
  std::string method;
  /// Path and query as sent.
  std::string target;
  HeaderList headers;
};

/// The head of a response.
struct ResponseHead {
  int status = 0;
  HeaderList headers;
};

/// A complete request.
struct Request {
  RequestHead head;
  std::string body;
  /// The reservation for the body's bytes, held as long as the body; null if
  /// there is none.
  std::shared_ptr<MemoryReservation> memory = nullptr;
};

/// A complete response.
struct Response {
  ResponseHead head;
  std::string body;
};

/// Returns a response with a JSON body. Thread-safe.
Response MakeResponse(int status, std::string json_body);

/// Sets the `Retry-After` header to `after`, in seconds with three decimals,
/// rounded up to a millisecond. Thread-safe.
void SetRetryAfter(Response& response, Duration after);

/// Returns a response with status 200 and a plain-text body. Thread-safe.
Response MakeTextResponse(std::string text);

/// The path of a target, and its query without the question mark.
struct Target {
  std::string_view path;
  std::string_view query;
};
/// Splits a target at its question mark. The views refer to the characters of
/// `target`. Thread-safe.
Target SplitTarget(std::string_view target);
/// Returns the decoded value of a query parameter, or nothing if it is absent
/// or badly encoded. Thread-safe.
std::optional<std::string> FindParameter(std::string_view query,
                                         std::string_view name);
/// Percent-encodes text for use in a query. Thread-safe.
std::string EncodeParameter(std::string_view text);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_MESSAGE_H_
