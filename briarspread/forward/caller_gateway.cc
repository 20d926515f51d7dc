#include "briarspread/forward/caller_gateway.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace briarspread::forward {
namespace {

/// Timeout of a request that names no deadline and whose route has no limit.
constexpr milliseconds kDefaultTimeout{30000};
/// Retry-After time of requests that an instance which stops does not take.
constexpr milliseconds kStoppingRetryAfter{10};

/// Sends the response of a forwarded request to its caller.
class CallerSink final : public ResponseSink {
 public:
  explicit CallerSink(std::shared_ptr<proxy::Responder> responder)
      : responder_(std::move(responder)) {}

  void OnResponse(proxy::Response response) override {
    responder_->Send(response);
  }
  void OnResponseHead(const proxy::ResponseHead& head) override {
    responder_->Start(head);
  }
  void OnResponseBody(std::string_view data) override {
    responder_->Write(data);
  }
  void OnResponseEnd() override { responder_->End(); }
  void OnResponseAborted() override { responder_->Abort(); }
  std::size_t unsent() const override { return responder_->unsent(); }

 private:
  std::shared_ptr<proxy::Responder> responder_;
};

/// Owns a forwarded request and the sink of its response, so that both have the
/// same lifetime.
struct CallerExchange {
  explicit CallerExchange(const std::shared_ptr<proxy::Responder>& responder)
      : sink(responder) {}
  CallerSink sink;
  std::shared_ptr<LiveRequest> request;
};

}  // namespace

const Route* CallerGateway::FindRoute(const proxy::Request& request) const {
  const std::string* host = request.head.headers.Find("Host");
  const auto target = proxy::SplitTarget(request.head.target);
  return context_.configuration.current()->FindRoute(
      host == nullptr ? std::string_view{} : std::string_view{*host},
      target.path);
}

Authorization CallerGateway::Authorize(const proxy::Request& request,
                                       const Route* route) const {
  return forward::Authorize(*context_.configuration.current(), route,
                            request.head.headers, context_.headers);
}

void CallerGateway::Forward(
    proxy::Request request, const Route& route,
    const std::optional<accounts::Account>& account,
    const std::shared_ptr<proxy::Responder>& responder) {
  LiveRequestSpec spec;
  if (account.has_value()) spec.account = account->id;
  SetAccountHeaders(*context_.configuration.current(), context_.headers,
                    spec.account, request.head.headers);
  spec.arrived = context_.clock.Now();
  milliseconds time =
      route.timeout.count() > 0 ? route.timeout : kDefaultTimeout;
  const auto requested_ms =
      request.head.headers.FindNumber(context_.headers.deadline);
  if (requested_ms.has_value()) {
    time =
        std::min(time, milliseconds(static_cast<std::int64_t>(
                           std::min<std::uint64_t>(*requested_ms, 3'600'000))));
  }
  spec.deadline = spec.arrived + time;
  spec.route = route;
  if (account.has_value() && account->priority.has_value()) {
    spec.route.priority = *account->priority;
  }
  if (!CanTake(spec)) {
    RefuseStopping(request, *responder);
    return;
  }
  spec.request = std::move(request);
  const auto exchange = std::make_shared<CallerExchange>(responder);
  exchange->request =
      std::make_shared<LiveRequest>(context_, std::move(spec), exchange->sink);
  // The responder's callbacks keep the exchange alive until the response has
  // ended.
  responder->SetOnDisconnect([exchange] { exchange->request->Cancel(); });
  responder->SetOnDrained([exchange] { exchange->request->OnDrained(); });
  exchange->request->Start();
}

bool CallerGateway::CanTake(const LiveRequestSpec& spec) const {
  // The estimate below looks at all upstreams.
  if (!stop_.has_begun()) return true;
  const Route& route = spec.route;
  LateRequest request{route.is_idempotent(), spec.deadline, std::nullopt};
  if (!route.backends.empty()) {
    request.expected =
        EstimateRequestTime(context_.directory.table(),
                            route.backends.front().service, spec.arrived);
  }
  return stop_.CanTake(request, spec.arrived);
}

void CallerGateway::LogRefusal(const proxy::Request& request,
                               std::string_view reason) {
  ++context_.metrics.refusals[std::string(reason)];
  const std::string* id =
      request.head.headers.Find(context_.headers.attempt_id);
  LOG(WARNING) << "event=refused request=" << (id == nullptr ? "-" : *id)
               << " reason=" << reason << " target=\"" << request.head.target
               << "\"";
}

void CallerGateway::RefuseUnready(const proxy::Request& request,
                                  proxy::Responder& responder) {
  LogRefusal(request, "no_configuration");
  proxy::Response response =
      proxy::MakeResponse(503, "{\"error\":\"no_configuration\"}");
  proxy::SetRetryAfter(response,
                       context_.retry_after_planner.PlanWithoutAvailability());
  responder.Send(response);
}

void CallerGateway::RefuseStopping(const proxy::Request& request,
                                   proxy::Responder& responder) {
  LogRefusal(request, "stopping");
  proxy::Response response =
      proxy::MakeResponse(503, "{\"error\":\"stopping\"}");
  // Another instance may take the request at once.
  proxy::SetRetryAfter(response, kStoppingRetryAfter);
  responder.Send(response);
}

void CallerGateway::RefuseUnauthorized(const proxy::Request& request,
                                       proxy::Responder& responder) {
  LogRefusal(request, "unauthorized");
  responder.Send(proxy::MakeResponse(401, "{\"error\":\"unauthorized\"}"));
}

void CallerGateway::RefuseUnrouted(const proxy::Request& request,
                                   proxy::Responder& responder) {
  LogRefusal(request, "no_route");
  responder.Send(proxy::MakeResponse(404, "{\"error\":\"no_route\"}"));
}

}  // namespace briarspread::forward
