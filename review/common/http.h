#ifndef REVIEW_COMMON_HTTP_H_
#define REVIEW_COMMON_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// Seconds since the start of the program, by the steady clock.
double Now();
void SleepFor(double seconds);
void SleepUntil(double time);

/// Header lines in order; names compare without case.
class HeaderLines {
 public:
  void Add(std::string name, std::string value);
  /// Returns the first value of `name`; empty if there is none.
  std::string Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>>& lines() const {
    return lines_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> lines_;
};

struct RequestHead {
  std::string method;
  std::string target;
  /// The target without its query.
  std::string path;
  HeaderLines headers;

  /// Returns a decoded parameter of the query; empty if there is none.
  std::string Parameter(std::string_view name) const;
};

struct Response {
  int status = 0;
  HeaderLines headers;
  std::string body;
};

/// A TCP connection with blocking calls that end at a deadline.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Reads at most `most` bytes; empty at the end of the connection, after an
  /// error or at `deadline`.
  std::string ReadSome(std::size_t most, double deadline);
  /// Reads a line without its end; nothing if the connection ended.
  std::optional<std::string> ReadLine(double deadline);
  /// Reads exactly `n` bytes; nothing if the connection ended before.
  std::optional<std::string> ReadBytes(std::size_t n, double deadline);
  /// Reads the head of a request.
  std::optional<RequestHead> ReadRequest(double deadline);
  /// Reads the body that belongs to these headers.
  std::optional<std::string> ReadBody(const HeaderLines& headers,
                                      double deadline);
  /// Reads a response; nothing if it did not arrive whole.
  std::optional<Response> ReadResponse(double deadline);
  bool Send(std::string_view bytes);
  bool SendResponse(int status, const HeaderLines& headers,
                    std::string_view body);
  /// Whether the other side has closed or reset the connection.
  bool IsClosedByPeer();
  /// Makes the close of this connection a reset.
  void ResetOnClose();

 private:
  const int fd_;
  std::string buffer_;
};

/// Serves connections at an address, each in a thread of its own, until the
/// program ends.
class Server {
 public:
  /// Handles a request whose head was read. Returns whether the connection is
  /// kept for further requests.
  using Handler = std::function<bool(Connection&, const RequestHead&)>;

  /// Listens at a free port of `ip`.
  Server(const std::string& ip, Handler handler);
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept();

  const std::string ip_;
  const Handler handler_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

/// Returns a port at which nothing listens on `ip` now.
std::uint16_t FindFreePort(const std::string& ip);
/// Whether a socket can be bound to the port of `ip`.
bool IsPortFree(const std::string& ip, std::uint16_t port);

/// Opens a connection; returns a null pointer if there is none at `deadline`.
std::unique_ptr<Connection> Connect(const std::string& address,
                                    double deadline);

/// Returns the bytes of a request with a body of known length.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const HeaderLines& headers, std::string_view body);

/// Sends a request on a new connection and reads the response. Nothing if there
/// is no whole response at `deadline`.
std::optional<Response> Call(const std::string& address,
                             const std::string& method,
                             const std::string& target,
                             const HeaderLines& headers, std::string_view body,
                             double deadline);

std::string EncodeBase64(std::string_view bytes);
std::string DecodeBase64(std::string_view text);

}  // namespace review

#endif  // REVIEW_COMMON_HTTP_H_
