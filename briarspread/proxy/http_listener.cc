#include "briarspread/proxy/http_listener.h"

#include <glog/logging.h>

#include <utility>
#include <vector>

namespace briarspread::proxy {
namespace {

/// Maximum number of connections waiting to be accepted.
constexpr int kBacklog = 1024;

}  // namespace

HttpListener::HttpListener(asio::io_context& loop, RequestHandler& handler)
    : handler_(handler), acceptor_(loop) {}

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
    } else {
      Add(std::move(socket));
    }
    if (acceptor_.is_open()) Accept();
  });
}

void HttpListener::Add(asio::ip::tcp::socket socket) {
  const auto connection = std::make_shared<ServerConnection>(
      std::move(socket), settings_, handler_,
      [this](const ServerConnection* closed) { connections_.erase(closed); });
  connections_.emplace(connection.get(), connection);
  connection->Start();
  if (closes_after_response_) connection->CloseAfterResponse();
}

void HttpListener::CloseConnectionsAfterResponse() {
  closes_after_response_ = true;
  for (const auto& [key, connection] : connections_) {
    connection->CloseAfterResponse();
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
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CloseWhenIdle();
}

void HttpListener::Stop() {
  asio::error_code ec;
  acceptor_.close(ec);
  const auto all = std::exchange(connections_, {});
  for (const auto& [key, connection] : all) connection->Close();
}

std::size_t HttpListener::busy_count() const {
  std::size_t n = 0;
  for (const auto& [key, connection] : connections_) n += connection->is_busy();
  return n;
}

}  // namespace briarspread::proxy
