#include "briarspread/duties/usage_duty.h"

#include <glog/logging.h>

#include <utility>

namespace briarspread::duties {

UsageDuty::UsageDuty(asio::io_context& loop, AsyncStore& store,
                     const InstanceRegistry& registry, OrderLease& order_lease,
                     PeerClient& peers, ControlApi& api,
                     std::function<bool()> is_enabled, const Clock& clock,
                     const UsageDutySettings& settings)
    : peers_(peers),
      is_enabled_(std::move(is_enabled)),
      settings_(settings),
      true_time_(TrueTimeSettings{}, clock),
      counter_(settings.counter,
               {registry.self().name, registry.self().incarnation}, true_time_,
               clock),
      publisher_(
          registry, counter_, true_time_, clock,
          [this](const InstanceRecord& peer, std::string message,
                 UsagePublisher::OnAnswer done) {
            SendTo(peer, std::move(message), std::move(done));
          },
          settings.publisher),
      reporter_(store, order_lease, counter_, true_time_, api, clock,
                settings.reporter),
      publish_timer_(loop),
      report_timer_(loop) {}

void UsageDuty::Start() {
  publish_timer_.Every(settings_.publish_interval,
                       [this] { PublishIfEnabled(); });
  report_timer_.Every(settings_.report_interval, [this] {
    if (is_enabled_()) reporter_.Step();
  });
}

void UsageDuty::PublishIfEnabled() {
  if (is_enabled_()) publisher_.Step();
}

void UsageDuty::SendTo(const InstanceRecord& peer, std::string message,
                       UsagePublisher::OnAnswer done) {
  PeerCall call;
  call.method = "POST";
  call.target = kPath;
  call.body = std::move(message);
  call.timeout = settings_.peer_timeout;
  peers_.Call(peer.peer_endpoint, std::move(call),
              [done = std::move(done)](const Result<proxy::Response>& result) {
                if (IsOk(result) && ValueOf(result).head.status == 200) {
                  done(ValueOf(result).body);
                } else {
                  done(std::nullopt);
                }
              });
}

bool UsageDuty::TryAnswer(const proxy::Request& request,
                          const std::shared_ptr<proxy::Responder>& responder) {
  if (proxy::SplitTarget(request.head.target).path != kPath) return false;
  const auto answer = publisher_.OnMessage(request.body);
  responder->Send(answer.has_value()
                      ? proxy::MakeResponse(200, *answer)
                      : proxy::MakeResponse(400, "{\"error\":\"malformed\"}"));
  return true;
}

void UsageDuty::WriteMetrics(PrometheusWriter& out) const {
  const UsageReporterMetrics& metrics = reporter_.metrics();
  out.Counter("briarspread_usage_windows_decided_total", metrics.decided);
  out.Counter("briarspread_usage_reports_acknowledged_total",
              metrics.acknowledged);
  out.Counter("briarspread_usage_reports_rejected_total", metrics.rejected);
  out.Counter("briarspread_usage_reports_failed_total", metrics.failed);
  out.Gauge("briarspread_usage_oldest_unreported_seconds",
            SecondsOf(reporter_.OldestUnreportedAge()));
}

}  // namespace briarspread::duties
