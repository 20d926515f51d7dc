#include "briarspread/forward/relay_handler.h"

#include <glog/logging.h>

#include <optional>
#include <string>
#include <utility>

#include "briarspread/forward/relayed_exchange.h"

namespace briarspread::forward {
namespace {

/// Number of unsent bytes above which reading from the upstream is paused.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;

/// One relayed request. Keeps itself alive until its response has ended.
class RelayedRequest final
    : public proxy::ExchangeListener,
      public std::enable_shared_from_this<RelayedRequest> {
 public:
  RelayedRequest(ForwardContext& context, UpstreamId upstream,
                 std::string request_id,
                 std::shared_ptr<proxy::Responder> responder,
                 std::shared_ptr<std::size_t> in_flight)
      : context_(context),
        upstream_(std::move(upstream)),
        request_id_(std::move(request_id)),
        responder_(std::move(responder)),
        in_flight_(std::move(in_flight)),
        started_(context.clock.Now()) {
    ++*in_flight_;
  }
  ~RelayedRequest() override { --*in_flight_; }

  void Start(proxy::ExchangeRequest request) {
    self_ = shared_from_this();
    responder_->SetOnDisconnect([this] { Cancel(); });
    responder_->SetOnDrained([this] {
      if (exchange_ != nullptr) exchange_->SetPaused(false);
    });
    exchange_ = context_.upstreams.pool().Start(std::move(request), *this);
  }

  void OnHead(const proxy::ResponseHead& head) override {
    UpdateFromResponseHead(context_, upstream_, head, started_);
    has_head_ = true;
    proxy::ResponseHead passed_on = head;
    passed_on.headers.Set(kRelayOutcomeHeader, kRelayAnswered);
    responder_->Start(passed_on);
  }

  void OnBody(std::string_view data) override {
    responder_->Write(data);
    if (exchange_ != nullptr && responder_->unsent() > kMaxUnsentBytes) {
      exchange_->SetPaused(true);
    }
  }

  void OnEnd() override {
    responder_->End();
    Finish("answered");
  }

  void OnFailure(const proxy::ExchangeFailure& failure) override {
    if (has_head_) {
      responder_->Abort();
    } else {
      proxy::Response response = proxy::MakeResponse(502, "{}");
      response.head.headers.Set(kRelayOutcomeHeader,
                                FormatRelayFailure(failure));
      responder_->Send(response);
    }
    Finish(proxy::ToString(failure.fault));
  }

 private:
  void Cancel() {
    if (self_ == nullptr) return;
    exchange_->Cancel();
    Finish("cancelled");
  }

  void Finish(std::string_view outcome) {
    LOG(INFO) << "event=relayed request=" << request_id_
              << " upstream=" << upstream_ << " outcome=" << outcome << " ms="
              << std::chrono::duration_cast<milliseconds>(context_.clock.Now() -
                                                          started_)
                     .count();
    ++context_.metrics.relayed_for_peers[std::string(outcome)];
    exchange_.reset();
    const auto keep = std::exchange(self_, nullptr);
  }

  ForwardContext& context_;
  const UpstreamId upstream_;
  const std::string request_id_;
  const std::shared_ptr<proxy::Responder> responder_;
  /// Shared with the handler, which counts the requests in flight.
  const std::shared_ptr<std::size_t> in_flight_;
  const TimePoint started_;
  std::unique_ptr<proxy::Exchange> exchange_;
  bool has_head_ = false;
  /// Keeps the request alive; null once it has ended.
  std::shared_ptr<RelayedRequest> self_;
};

}  // namespace

RelayHandler::RelayHandler(ForwardContext& context)
    : context_(context), in_flight_(std::make_shared<std::size_t>(0)) {}

bool RelayHandler::TryAnswer(
    const proxy::Request& request,
    const std::shared_ptr<proxy::Responder>& responder) {
  if (proxy::SplitTarget(request.head.target).path != kRelayPath) return false;
  Relay(request, responder);
  return true;
}

void RelayHandler::RespondNotSent(proxy::Responder& responder,
                                  std::string_view outcome,
                                  std::string_view reason) {
  ++context_.metrics.relayed_for_peers[std::string(reason)];
  proxy::Response response =
      proxy::MakeResponse(503, "{\"error\":\"" + std::string(reason) + "\"}");
  response.head.headers.Set(kRelayOutcomeHeader, std::string(outcome));
  responder.Send(response);
}

void RelayHandler::Relay(const proxy::Request& request,
                         const std::shared_ptr<proxy::Responder>& responder) {
  const auto query = proxy::SplitTarget(request.head.target).query;
  const auto id = proxy::FindParameter(query, "upstream");
  const auto start = proxy::FindParameter(query, "start");
  if (!id.has_value() || !start.has_value()) {
    RespondNotSent(*responder, kRelayRefused, "malformed");
    return;
  }
  const UpstreamId upstream(*id);
  const KnownUpstream* known = context_.directory.Find(upstream);
  if (known == nullptr ||
      proxy::ParseNumber(*start) != known->listed.start_id) {
    RespondNotSent(*responder, kRelayUnknownUpstream, "upstream_unknown");
    return;
  }
  if (known->listed.is_leaving) {
    // The sender has not learned it yet.
    RespondNotSent(*responder,
                   FormatRelayFailure(
                       {proxy::ExchangeFault::kNotConnected, Verdict::kNotRun}),
                   "upstream_leaving");
    return;
  }
  if (context_.upstreams.is_cut_off()) {
    RespondNotSent(*responder, kRelayRefused, "cut_off");
    return;
  }
  proxy::ExchangeRequest exchange;
  exchange.to = known->listed.endpoint;
  exchange.bytes = proxy::RequestBytes::Parse(request.body);
  if (!exchange.bytes.has_value()) {
    RespondNotSent(*responder,
                   FormatRelayFailure({proxy::ExchangeFault::kInvalidRequest,
                                       Verdict::kNotRun}),
                   "invalid_request");
    return;
  }
  exchange.is_head_request = request.head.method == "HEAD";
  exchange.echo_value = proxy::FindParameter(query, "request").value_or("");
  if (!exchange.echo_value.empty()) {
    exchange.echo_name = context_.headers.attempt_id;
  }
  const auto relayed = std::make_shared<RelayedRequest>(
      context_, upstream, exchange.echo_value, responder, in_flight_);
  relayed->Start(std::move(exchange));
}

}  // namespace briarspread::forward
