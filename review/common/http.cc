#include "review/common/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace review {
namespace {

using Steady = std::chrono::steady_clock;

const Steady::time_point kStart = Steady::now();
constexpr double kIdleSeconds = 60;
constexpr double kSendSeconds = 30;

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Waits for events on a socket; returns false at the deadline.
bool Await(int fd, int events, double deadline) {
  const double left = deadline - Now();
  if (left <= 0) return false;
  pollfd entry{fd, static_cast<std::int16_t>(events), 0};
  return poll(&entry, 1, static_cast<int>(left * 1000) + 1) > 0;
}

sockaddr_in ToSocketAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Returns a socket that is bound to the port of `ip`, or -1.
int Bind(const std::string& ip, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSocketAddress(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
      0) {
    return fd;
  }
  close(fd);
  return -1;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string DecodePercent(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(std::strtol(
          std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

std::size_t ToLength(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Steady::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) { SleepFor(time - Now()); }

void HeaderLines::Add(std::string name, std::string value) {
  lines_.emplace_back(std::move(name), std::move(value));
}

std::string HeaderLines::Get(std::string_view name) const {
  for (const auto& [key, value] : lines_) {
    if (EqualNames(key, name)) return value;
  }
  return "";
}

bool HeaderLines::Has(std::string_view name) const {
  return std::any_of(lines_.begin(), lines_.end(), [name](const auto& line) {
    return EqualNames(line.first, name);
  });
}

std::string RequestHead::Parameter(std::string_view name) const {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::string_view rest{target};
  rest.remove_prefix(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return DecodePercent(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return "";
}

Connection::~Connection() { close(fd_); }

std::string Connection::ReadSome(std::size_t most, double deadline) {
  if (!buffer_.empty()) {
    std::string bytes = buffer_.substr(0, most);
    buffer_.erase(0, bytes.size());
    return bytes;
  }
  if (!Await(fd_, POLLIN, deadline)) return "";
  std::array<char, 65536> bytes{};
  const ssize_t n = recv(fd_, bytes.data(), std::min(most, bytes.size()), 0);
  return n > 0 ? std::string(bytes.data(), static_cast<std::size_t>(n)) : "";
}

std::optional<std::string> Connection::ReadLine(double deadline) {
  while (true) {
    const std::size_t end = buffer_.find('\n');
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      if (!line.empty() && line.back() == '\r') line.pop_back();
      return line;
    }
    std::string kept = std::move(buffer_);
    buffer_.clear();
    const std::string more = ReadSome(65536, deadline);
    if (more.empty()) return std::nullopt;
    buffer_ = std::move(kept) + more;
  }
}

std::optional<std::string> Connection::ReadBytes(std::size_t n,
                                                 double deadline) {
  std::string bytes;
  while (bytes.size() < n) {
    const std::string more = ReadSome(n - bytes.size(), deadline);
    if (more.empty()) return std::nullopt;
    bytes += more;
  }
  return bytes;
}

std::optional<RequestHead> Connection::ReadRequest(double deadline) {
  const auto first = ReadLine(deadline);
  if (!first.has_value()) return std::nullopt;
  RequestHead head;
  const std::size_t space = first->find(' ');
  const std::size_t end = first->rfind(' ');
  if (space == std::string::npos || end <= space) return std::nullopt;
  head.method = first->substr(0, space);
  head.target = first->substr(space + 1, end - space - 1);
  head.path = head.target.substr(0, head.target.find('?'));
  while (true) {
    const auto line = ReadLine(deadline);
    if (!line.has_value()) return std::nullopt;
    if (line->empty()) return head;
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) return std::nullopt;
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    head.headers.Add(line->substr(0, colon),
                     value == std::string::npos ? "" : line->substr(value));
  }
}

std::optional<std::string> Connection::ReadBody(const HeaderLines& headers,
                                                double deadline) {
  if (headers.Get("Transfer-Encoding") != "chunked") {
    return ReadBytes(ToLength(headers.Get("Content-Length")), deadline);
  }
  std::string body;
  while (true) {
    const auto line = ReadLine(deadline);
    if (!line.has_value()) return std::nullopt;
    const std::size_t n = std::strtoull(line->c_str(), nullptr, 16);
    const auto chunk = ReadBytes(n, deadline);
    if (!chunk.has_value() || !ReadLine(deadline).has_value()) {
      return std::nullopt;
    }
    if (n == 0) return body;
    body += *chunk;
  }
}

std::optional<Response> Connection::ReadResponse(double deadline) {
  const auto first = ReadLine(deadline);
  if (!first.has_value() || first->size() < 12) return std::nullopt;
  Response response;
  response.status =
      static_cast<int>(std::strtol(first->substr(9, 3).c_str(), nullptr, 10));
  while (true) {
    const auto line = ReadLine(deadline);
    if (!line.has_value()) return std::nullopt;
    if (line->empty()) break;
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) return std::nullopt;
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    response.headers.Add(line->substr(0, colon),
                         value == std::string::npos ? "" : line->substr(value));
  }
  auto body = ReadBody(response.headers, deadline);
  if (!body.has_value()) return std::nullopt;
  response.body = std::move(*body);
  return response;
}

bool Connection::Send(std::string_view bytes) {
  const double deadline = Now() + kSendSeconds;
  while (!bytes.empty()) {
    const ssize_t n =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (errno != EAGAIN || !Await(fd_, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

bool Connection::SendResponse(int status, const HeaderLines& headers,
                              std::string_view body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers.lines()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return Send(out.append(body));
}

bool Connection::IsClosedByPeer() {
  pollfd entry{fd_, POLLIN | POLLRDHUP, 0};
  if (poll(&entry, 1, 0) <= 0) return false;
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::ResetOnClose() {
  const linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

Server::Server(const std::string& ip, Handler handler)
    : ip_(ip), handler_(std::move(handler)) {
  fd_ = Bind(ip, 0);
  if (fd_ < 0 || listen(fd_, 1024) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  port_ = PortOf(fd_);
  std::thread([this] { Accept(); }).detach();
}

void Server::Accept() {
  while (true) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([this, fd] {
      Connection connection(fd);
      while (true) {
        const auto head = connection.ReadRequest(Now() + kIdleSeconds);
        if (!head.has_value() || !handler_(connection, *head)) return;
      }
    }).detach();
  }
}

bool IsPortFree(const std::string& ip, std::uint16_t port) {
  const int fd = Bind(ip, port);
  if (fd >= 0) close(fd);
  return fd >= 0;
}

std::uint16_t FindFreePort(const std::string& ip) {
  const int fd = Bind(ip, 0);
  const std::uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

std::unique_ptr<Connection> Connect(const std::string& address,
                                    double deadline) {
  const std::size_t colon = address.rfind(':');
  const sockaddr_in to =
      ToSocketAddress(address.substr(0, colon),
                      static_cast<std::uint16_t>(std::strtoul(
                          address.substr(colon + 1).c_str(), nullptr, 10)));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(fd);
  const int started =
      connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (started != 0) {
    if (errno != EINPROGRESS || !Await(fd, POLLOUT, deadline)) return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return nullptr;
  }
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const HeaderLines& headers, std::string_view body) {
  std::string out = method;
  out.append(" ").append(target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : headers.lines()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return out.append(body);
}

std::optional<Response> Call(const std::string& address,
                             const std::string& method,
                             const std::string& target,
                             const HeaderLines& headers, std::string_view body,
                             double deadline) {
  const auto connection = Connect(address, std::min(deadline, Now() + 1));
  if (connection == nullptr) return std::nullopt;
  HeaderLines all = headers;
  all.Add("Connection", "close");
  if (!connection->Send(FormatRequest(method, target, all, body))) {
    return std::nullopt;
  }
  return connection->ReadResponse(deadline);
}

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8U;
      if (k < n) group |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(k <= n ? kDigits[(group >> (18 - 6 * k)) & 63U] : '=');
    }
  }
  return out;
}

std::string DecodeBase64(std::string_view text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) continue;
    group = (group << 6U) | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out.push_back(
        static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U));
  }
  return out;
}

}  // namespace review
