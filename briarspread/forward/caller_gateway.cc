#include "briarspread/forward/caller_gateway.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace briarspread::forward {
namespace {

/// The time given to a request whose caller names none and whose route has no
/// limit.
constexpr milliseconds kDefaultTime{30000};

/// Passes an answer on to a caller, and the caller's leaving to the request.
class CallerSink final : public AnswerSink {
 public:
  explicit CallerSink(std::shared_ptr<proxy::Responder> responder)
      : responder_(std::move(responder)) {}

  void OnAnswer(proxy::Response answer) override { responder_->Send(answer); }
  void OnAnswerHead(const proxy::ResponseHead& head) override {
    responder_->Start(head);
  }
  void OnAnswerBody(std::string_view data) override { responder_->Write(data); }
  void OnAnswerEnd() override { responder_->End(); }
  void OnAnswerBroken() override { responder_->Abort(); }
  std::size_t unsent() const override { return responder_->unsent(); }

 private:
  std::shared_ptr<proxy::Responder> responder_;
};

/// A request and its sink, which live as long as the request.
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

void CallerGateway::Forward(
    proxy::Request request, const Route& route,
    const std::shared_ptr<proxy::Responder>& responder) {
  LiveRequestSpec spec;
  spec.arrived = context_.clock.Now();
  milliseconds time = route.timeout.count() > 0 ? route.timeout : kDefaultTime;
  const auto asked = request.head.headers.FindNumber(context_.headers.deadline);
  if (asked.has_value()) {
    time = std::min(time, milliseconds(static_cast<std::int64_t>(
                              std::min<std::uint64_t>(*asked, 3'600'000))));
  }
  spec.deadline = spec.arrived + time;
  spec.route = route;
  spec.request = std::move(request);
  const auto exchange = std::make_shared<CallerExchange>(responder);
  exchange->request =
      std::make_shared<LiveRequest>(context_, std::move(spec), exchange->sink);
  // The responder's functions hold the exchange until the answer has ended.
  responder->SetOnDisconnect([exchange] { exchange->request->Cancel(); });
  responder->SetOnDrained([exchange] { exchange->request->OnDrained(); });
  exchange->request->Start();
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
  proxy::SetRetryAfter(response, context_.returns.PlanUnknown());
  responder.Send(response);
}

void CallerGateway::RefuseUnrouted(const proxy::Request& request,
                                   proxy::Responder& responder) {
  LogRefusal(request, "no_route");
  responder.Send(proxy::MakeResponse(404, "{\"error\":\"no_route\"}"));
}

}  // namespace briarspread::forward
