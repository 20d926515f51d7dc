#include "briarspread/transport/http_upstream_client.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

#include "briarspread/transport/connect_probe.h"

namespace briarspread {
namespace {

std::vector<Header> CopyHeaders(const httplib::Headers& headers) {
  std::vector<Header> copied;
  copied.reserve(headers.size());
  for (const auto& [name, value] : headers) copied.push_back({name, value});
  return copied;
}

httplib::Request MakeRequest(const UpstreamRequest& request) {
  httplib::Request http_request;
  http_request.method = request.method;
  http_request.path = request.path;
  for (const Header& header : request.headers) {
    http_request.set_header(header.name, header.value);
  }
  if (!request.body.empty()) {
    http_request.body = request.body;
    http_request.set_header("Content-Type", request.content_type);
  }
  return http_request;
}

/// Returns the stage that an exchange reached, derived from the library's error
/// and whether the response head was received.
ExchangeStage StageOf(httplib::Error error, bool head_arrived) {
  if (error == httplib::Error::Success) return ExchangeStage::kEnded;
  if (head_arrived) return ExchangeStage::kAnswering;
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
      return ExchangeStage::kConnecting;
    case httplib::Error::Write:
      return ExchangeStage::kSending;
    default:
      return ExchangeStage::kSent;
  }
}

}  // namespace

HttpUpstreamClient::HttpUpstreamClient(
    const HttpUpstreamClientSettings& settings, const Clock& clock)
    : settings_(settings), clock_(clock) {}

HttpUpstreamClient::~HttpUpstreamClient() = default;

std::unique_ptr<httplib::Client> HttpUpstreamClient::Acquire(
    const UpstreamRequest& request) {
  std::unique_ptr<httplib::Client> client;
  if (request.may_reuse_connection) {
    std::lock_guard lock(mutex_);
    auto& idle = idle_[request.endpoint];
    if (!idle.empty()) {
      client = std::move(idle.back());
      idle.pop_back();
    }
  }
  if (client == nullptr) {
    client = std::make_unique<httplib::Client>(request.endpoint.host,
                                               request.endpoint.port);
    client->set_tcp_nodelay(true);
  }
  client->set_keep_alive(request.may_reuse_connection);
  client->set_connection_timeout(request.connect_timeout);
  client->set_read_timeout(request.timeout);
  client->set_write_timeout(request.timeout);
  return client;
}

void HttpUpstreamClient::Release(const Endpoint& endpoint,
                                 std::unique_ptr<httplib::Client> client) {
  std::lock_guard lock(mutex_);
  auto& idle = idle_[endpoint];
  if (idle.size() < settings_.max_idle_per_endpoint) {
    idle.push_back(std::move(client));
  }
}

ExchangeOutcome HttpUpstreamClient::Exchange(const UpstreamRequest& request,
                                             ResponseReceiver* receiver) {
  ExchangeOutcome outcome;
  const TimePoint deadline = clock_.Now() + request.timeout;
  std::unique_ptr<httplib::Client> client = Acquire(request);
  httplib::Request http_request = MakeRequest(request);
  bool head_arrived = false;
  bool timed_out = false;
  http_request.response_handler = [&](const httplib::Response& head) {
    head_arrived = true;
    outcome.status = head.status;
    outcome.headers = CopyHeaders(head.headers);
    if (receiver == nullptr) return true;
    outcome.cancelled = !receiver->OnHead(head.status, outcome.headers);
    return !outcome.cancelled;
  };
  http_request.content_receiver = [&](const char* data, std::size_t n,
                                      std::uint64_t /*offset*/,
                                      std::uint64_t /*total*/) {
    timed_out = clock_.Now() > deadline;
    if (timed_out) return false;
    if (receiver == nullptr) {
      outcome.body.append(data, n);
      return true;
    }
    outcome.cancelled = !receiver->OnData(std::string_view(data, n));
    return !outcome.cancelled;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  client->send(http_request, response, error);
  outcome.stage = StageOf(error, head_arrived);
  if (outcome.stage != ExchangeStage::kEnded) {
    outcome.failure = timed_out ? "timed out" : httplib::to_string(error);
    // The library reports a refused connection like other connection failures,
    // so a second connection attempt finds out whether it was refused.
    outcome.refused =
        error == httplib::Error::Connection &&
        IsConnectionRefused(request.endpoint, request.connect_timeout);
    return outcome;
  }
  if (request.may_reuse_connection) {
    Release(request.endpoint, std::move(client));
  }
  return outcome;
}

}  // namespace briarspread
