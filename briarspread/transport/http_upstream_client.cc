#include "briarspread/transport/http_upstream_client.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "briarspread/transport/pending_exchange.h"

namespace briarspread {
namespace {

using asio::ip::tcp;

/// Returns the address of an endpoint whose host may be a name; nothing if it
/// can't be resolved.
std::optional<Endpoint> Resolve(const Endpoint& endpoint) {
  asio::error_code ec;
  asio::ip::make_address(endpoint.host, ec);
  if (!ec) return endpoint;
  asio::io_context loop;
  tcp::resolver resolver(loop);
  const auto found = resolver.resolve(endpoint.host, "", ec);
  if (ec || found.empty()) return std::nullopt;
  return Endpoint{found.begin()->endpoint().address().to_string(),
                  endpoint.port};
}

/// Percent-encodes characters that a target must not contain. A plus sign is
/// encoded too: in a query it would be read as a blank.
std::string EncodeTarget(const std::string& path) {
  std::string target;
  for (const char c : path) {
    const bool is_kept = c > ' ' && c < '\x7f' && c != '+';
    target += is_kept ? std::string(1, c)
                      : proxy::EncodeParameter(std::string_view(&c, 1));
  }
  return target;
}

proxy::RequestHead MakeHead(const UpstreamRequest& request) {
  proxy::RequestHead head;
  head.method = request.method;
  head.target = EncodeTarget(request.path);
  head.headers.Add("Host", request.endpoint.host + ":" +
                               std::to_string(request.endpoint.port));
  for (const Header& line : request.headers) {
    head.headers.Add(line.name, line.value);
  }
  if (!request.body.empty()) {
    head.headers.Set("Content-Type", request.content_type);
  }
  if (!request.may_reuse_connection) head.headers.Set("Connection", "close");
  return head;
}

proxy::ExchangeRequest MakeExchangeRequest(const UpstreamRequest& request,
                                           const Endpoint& address) {
  proxy::ExchangeRequest made;
  made.to = address;
  made.bytes = proxy::RequestBytes::Make(MakeHead(request), request.body);
  made.is_head_request = request.method == "HEAD";
  made.connect_timeout = request.connect_timeout;
  // Zero would mean no limit.
  made.timeout = std::max(request.timeout, milliseconds(1));
  made.may_reuse_connection = request.may_reuse_connection;
  return made;
}

/// Returns the stage that an exchange without a whole response reached.
ExchangeStage StageOf(proxy::ExchangeFault fault, bool has_head) {
  if (fault == proxy::ExchangeFault::kInvalidRequest) {
    return ExchangeStage::kBeforeConnect;
  }
  if (fault == proxy::ExchangeFault::kNotConnected) {
    return ExchangeStage::kConnecting;
  }
  return has_head ? ExchangeStage::kAnswering : ExchangeStage::kSent;
}

/// Hands progress to the receiver, or to `outcome` without one. Returns false
/// if the receiver cancels the exchange.
bool Deliver(const ResponseProgress& progress, ResponseReceiver* receiver,
             ExchangeOutcome& outcome) {
  if (progress.head.has_value()) {
    outcome.status = progress.head->status;
    outcome.headers = progress.head->headers.lines();
    outcome.stage = ExchangeStage::kAnswering;
    if (receiver != nullptr &&
        !receiver->OnHead(outcome.status, outcome.headers)) {
      return false;
    }
  }
  if (receiver == nullptr) {
    outcome.body += progress.data;
    return true;
  }
  return progress.data.empty() || receiver->OnData(progress.data);
}

}  // namespace

HttpUpstreamClient::HttpUpstreamClient()
    : work_(asio::make_work_guard(loop_)),
      pool_(loop_, proxy::UpstreamConnectionSettings{}),
      thread_([this] { loop_.run(); }) {}

HttpUpstreamClient::~HttpUpstreamClient() {
  // Exchanges that were cancelled before are closed first.
  asio::post(loop_, [this] { loop_.stop(); });
  thread_.join();
}

ExchangeOutcome HttpUpstreamClient::Exchange(const UpstreamRequest& request,
                                             ResponseReceiver* receiver) {
  ExchangeOutcome outcome;
  const auto address = Resolve(request.endpoint);
  if (!address.has_value()) {
    outcome.stage = ExchangeStage::kConnecting;
    outcome.failure = "host name not found";
    return outcome;
  }
  const auto exchange = std::make_shared<PendingExchange>();
  asio::post(loop_, [this, exchange,
                     made = MakeExchangeRequest(request, *address)]() mutable {
    exchange->Start(pool_, std::move(made));
  });
  while (true) {
    const ResponseProgress progress = exchange->Wait();
    if (!Deliver(progress, receiver, outcome)) {
      asio::post(loop_, [exchange] { exchange->Cancel(); });
      outcome.cancelled = true;
      outcome.failure = "cancelled";
      return outcome;
    }
    if (progress.has_ended) {
      outcome.stage = ExchangeStage::kEnded;
      return outcome;
    }
    if (progress.failure.has_value()) {
      const proxy::ExchangeFault fault = progress.failure->fault;
      outcome.stage =
          StageOf(fault, outcome.stage == ExchangeStage::kAnswering);
      outcome.failure = proxy::ToString(fault);
      outcome.refused = progress.failure->was_refused;
      return outcome;
    }
    asio::post(loop_, [exchange] { exchange->Resume(); });
  }
}

}  // namespace briarspread
