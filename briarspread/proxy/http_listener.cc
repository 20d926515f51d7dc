#include "briarspread/proxy/http_listener.h"

#include <glog/logging.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <utility>

#include "briarspread/proxy/message_bytes.h"

namespace briarspread::proxy {
namespace {

/// Maximum number of connections waiting to be accepted.
constexpr int kBacklog = 1024;
/// Pause after a failed accept. The usual cause is a lack of descriptors.
constexpr milliseconds kAcceptPause{100};
/// Interval at which paused connections are checked.
constexpr milliseconds kPressureInterval{100};
/// One of this many connections is closed at once to make room, so that the
/// search for them is rare.
constexpr std::size_t kShedDivisor = 16;
constexpr milliseconds kConnectionRetryAfter{1000};

}  // namespace

HttpListener::HttpListener(asio::io_context& loop, RequestHandler& handler)
    : handler_(handler),
      acceptor_(loop),
      accept_timer_(loop),
      pressure_timer_(loop) {}

HttpListener::~HttpListener() { Stop(); }

Status HttpListener::Start(const Endpoint& at) {
  asio::error_code ec;
  const auto address = asio::ip::make_address(at.host, ec);
  const asio::ip::tcp::endpoint endpoint(address, at.port);
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(kBacklog, ec);
  if (ec) {
    return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
                 at.host + ":" + std::to_string(at.port) + ": " + ec.message()};
  }
  port_ = acceptor_.local_endpoint(ec).port();
  Accept();
  return OkStatus();
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](asio::error_code ec,
                                asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      LOG(WARNING) << "event=accept_failed reason=\"" << ec.message() << "\"";
      After(accept_timer_, kAcceptPause, &HttpListener::Accept);
      return;
    }
    Add(std::move(socket));
    if (acceptor_.is_open()) Accept();
  });
}

void HttpListener::After(asio::steady_timer& timer, milliseconds delay,
                         void (HttpListener::*action)()) {
  timer.expires_after(delay);
  timer.async_wait(
      [this, action, token = std::weak_ptr<char>(token_)](asio::error_code ec) {
        if (!ec && !token.expired()) (this->*action)();
      });
}

void HttpListener::CountRefusal(const char* cause) {
  ++refusals_[cause];
  LOG_EVERY_N(WARNING, 100) << "event=connection_shed cause=" << cause
                            << " connections=" << connections_.size();
}

void HttpListener::Remove(const ServerConnection* closed) {
  const auto it = connections_.find(closed);
  if (it == connections_.end()) return;
  const auto count = count_by_address_.find(it->second.from);
  if (--count->second == 0) count_by_address_.erase(count);
  connections_.erase(it);
}

bool HttpListener::ShedConnections(const asio::ip::address* from,
                                   const char* cause) {
  const TimePoint now = std::chrono::steady_clock::now();
  if (now - no_room_since_ < kPressureInterval) return false;
  std::vector<std::shared_ptr<ServerConnection>> all;
  std::vector<ConnectionLoad> loads;
  for (const auto& [key, entry] : connections_) {
    if (from != nullptr && entry.from != *from) continue;
    all.push_back(entry.connection);
    loads.push_back(entry.connection->LoadAt(now));
  }
  const auto chosen =
      ShedPolicy(settings_.shed)
          .ChooseForConnections(loads, 1 + all.size() / kShedDivisor);
  for (const std::size_t i : chosen) {
    CountRefusal(cause);
    all[i]->Close();
  }
  if (chosen.empty()) no_room_since_ = now;
  return !chosen.empty();
}

bool HttpListener::MakeRoom(const asio::ip::address& from) {
  const auto it = count_by_address_.find(from);
  if (settings_.max_connections_per_address > 0 &&
      it != count_by_address_.end() &&
      it->second >= settings_.max_connections_per_address &&
      !ShedConnections(&from, "connections_of_address")) {
    return false;
  }
  return settings_.max_connections == 0 ||
         connections_.size() < settings_.max_connections ||
         ShedConnections(nullptr, "connections");
}

void HttpListener::RejectConnection(asio::ip::tcp::socket socket,
                                    const char* cause) {
  CountRefusal(cause);
  Response response = MakeResponse(503, "{\"error\":\"overloaded\"}");
  SetRetryAfter(response, kConnectionRetryAfter);
  const std::string bytes = SerializeLast(response);
  // A new connection has room for these bytes. If not, the caller only sees the
  // connection end.
  asio::error_code ec;
  socket.non_blocking(true, ec);
  if (!ec) socket.write_some(asio::buffer(bytes), ec);
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void HttpListener::Add(asio::ip::tcp::socket socket) {
  asio::error_code ec;
  const asio::ip::address from = socket.remote_endpoint(ec).address();
  // The caller has disconnected already.
  if (ec) return;
  if (!MakeRoom(from)) {
    RejectConnection(std::move(socket), "no_connection_free");
    return;
  }
  const auto connection = std::make_shared<ServerConnection>(
      std::move(socket), settings_, handler_,
      [this](const ServerConnection* closed) { Remove(closed); },
      [this] { OnPaused(); });
  if (!connection->Reserve() &&
      !(ShedConnections(nullptr, "memory") && connection->Reserve())) {
    CountRefusal("memory");
    connection->Close();
    return;
  }
  connections_.emplace(connection.get(), Entry{connection, from});
  ++count_by_address_[from];
  connection->Start();
  if (closes_after_response_) connection->CloseAfterResponse();
}

void HttpListener::CloseConnectionsAfterResponse() {
  closes_after_response_ = true;
  for (const auto& [key, entry] : connections_) {
    entry.connection->CloseAfterResponse();
  }
}

void HttpListener::AcceptPending() {
  asio::error_code ec;
  if (!acceptor_.is_open()) return;
  acceptor_.cancel(ec);
  acceptor_.non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    if (!ec) Add(std::move(socket));
  }
}

void HttpListener::StopWhenIdle() {
  // Closing the acceptor would reset the connections that wait to be accepted.
  AcceptPending();
  asio::error_code ec;
  acceptor_.close(ec);
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, entry] : connections_) {
    all.push_back(entry.connection);
  }
  for (const auto& connection : all) connection->CloseWhenIdle();
}

void HttpListener::AnswerUnfinished() {
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, entry] : connections_) {
    all.push_back(entry.connection);
  }
  for (const auto& connection : all) connection->AnswerUnfinished();
}

void HttpListener::Stop() {
  asio::error_code ec;
  acceptor_.close(ec);
  accept_timer_.cancel();
  const auto all = std::exchange(connections_, {});
  count_by_address_.clear();
  for (const auto& [key, entry] : all) entry.connection->Close();
}

std::size_t HttpListener::busy_count() const {
  std::size_t n = 0;
  for (const auto& [key, entry] : connections_) {
    n += entry.connection->is_busy();
  }
  return n;
}

void HttpListener::OnPaused() {
  if (is_pressure_timer_set_) return;
  is_pressure_timer_set_ = true;
  After(pressure_timer_, kPressureInterval, &HttpListener::RelievePressure);
}

void HttpListener::RelievePressure() {
  is_pressure_timer_set_ = false;
  const TimePoint now = std::chrono::steady_clock::now();
  std::vector<std::pair<ConnectionLoad, std::shared_ptr<ServerConnection>>> all;
  for (const auto& [key, entry] : connections_) {
    all.emplace_back(entry.connection->LoadAt(now), entry.connection);
  }
  std::vector<ConnectionLoad> loads;
  loads.reserve(all.size());
  for (const auto& [load, connection] : all) loads.push_back(load);
  const auto victim = ShedPolicy(settings_.shed).ChooseForMemory(loads);
  if (victim.has_value()) {
    CountRefusal("memory");
    all[*victim].second->Shed();
  }
  // The requests closest to their end are the first to continue.
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.first.bytes > b.first.bytes;
  });
  for (const auto& [load, connection] : all) connection->ResumeReading();
  const bool is_any_paused =
      std::any_of(all.begin(), all.end(),
                  [](const auto& each) { return each.second->is_paused(); });
  if (is_any_paused) OnPaused();
}

}  // namespace briarspread::proxy
