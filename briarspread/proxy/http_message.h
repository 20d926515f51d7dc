#ifndef BRIARSPREAD_PROXY_HTTP_MESSAGE_H_
#define BRIARSPREAD_PROXY_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::proxy {

/// One header line.
struct Header {
  std::string name;
  std::string value;
};

/// The header lines of one message, in the order they came. Names compare
/// without regard to case. Not thread-safe.
class HeaderList {
 public:
  /// Adds a line at the end.
  void Add(std::string name, std::string value);
  /// Replaces all lines of this name by one.
  void Set(std::string_view name, std::string value);
  /// Drops all lines of this name.
  void Remove(std::string_view name);
  /// The first value of this name, or null.
  const std::string* Find(std::string_view name) const;
  /// The first value of this name as an unsigned number; nothing where absent
  /// or malformed.
  std::optional<std::uint64_t> FindNumber(std::string_view name) const;
  /// Drops the lines that concern one connection only, those that the
  /// `Connection` line names included.
  void RemoveHopByHop();

  const std::vector<Header>& lines() const { return lines_; }
  void Clear() { lines_.clear(); }

 private:
  std::vector<Header> lines_;
};

/// Whether two header names are the same. Thread-safe.
bool IsSameName(std::string_view a, std::string_view b);

/// The unsigned number that `text` is, whole; nothing otherwise. Thread-safe.
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

/// A whole request.
struct Request {
  RequestHead head;
  std::string body;
};

/// A whole response.
struct Response {
  ResponseHead head;
  std::string body;
};

/// How a message's body is delimited.
enum class Framing { kNoBody, kLength, kChunked };

/// The bytes of a request with its body, delimited by length. Thread-safe.
std::string Serialize(const RequestHead& head, std::string_view body);
/// The bytes of a response's head; `length` goes with `Framing::kLength`.
/// Thread-safe.
std::string SerializeHead(const ResponseHead& head, Framing framing,
                          std::size_t length, bool keep_alive);
/// One chunk of a chunked body; the last chunk for empty `data`. Thread-safe.
std::string SerializeChunk(std::string_view data);

/// A response of this system's own with a JSON body. Thread-safe.
Response MakeResponse(int status, std::string json_body);

/// Tells a refused caller when to come back. Thread-safe.
void SetRetryAfter(Response& response, Duration after);

/// A response of 200 with a body of plain text. Thread-safe.
Response MakeTextResponse(std::string text);

/// The path of a target, and its query without the question mark.
struct Target {
  std::string_view path;
  std::string_view query;
};
/// Splits a target. The views live as long as `target`. Thread-safe.
Target SplitTarget(std::string_view target);
/// The decoded value of a query's parameter; nothing where absent or badly
/// encoded. Thread-safe.
std::optional<std::string> FindParameter(std::string_view query,
                                         std::string_view name);
/// Text encoded for use in a query. Thread-safe.
std::string EncodeParameter(std::string_view text);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HTTP_MESSAGE_H_
