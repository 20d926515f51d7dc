#include "briarspread/batch/engine_load_publisher.h"

#include <utility>

namespace briarspread::batch {

EngineLoadPublisher::EngineLoadPublisher(
    asio::io_context& loop, const forward::UpstreamDirectory& directory,
    PeerClient& peers, const InstanceId& self, Recipients recipients,
    const Clock& clock, const EngineLoadPublisherSettings& settings)
    : directory_(directory),
      peers_(peers),
      self_(self),
      recipients_(std::move(recipients)),
      clock_(clock),
      settings_(settings),
      timer_(loop) {}

void EngineLoadPublisher::Start() {
  timer_.Every(settings_.interval, [this] { PublishIfChanged(); });
}

EngineLoads EngineLoadPublisher::OwnLoads() const {
  EngineLoads loads;
  for (const auto& [id, upstream] : directory_.all()) {
    const std::uint32_t n = upstream.counters->rollouts_in_flight.load();
    if (n > 0) loads[id] = n;
  }
  return loads;
}

void EngineLoadPublisher::PublishIfChanged() {
  EngineLoads loads = OwnLoads();
  const TimePoint now = clock_.Now();
  if (loads == sent_loads_ &&
      (loads.empty() || now - sent_at_ < settings_.refresh)) {
    return;
  }
  for (const Endpoint& peer : recipients_()) {
    PeerCall call;
    call.method = "POST";
    call.target =
        std::string(kPath) + "?from=" + proxy::EncodeParameter(self_.value());
    call.body = FormatEngineLoads(loads);
    peers_.Call(peer, std::move(call), [](const Result<proxy::Response>&) {
      // The next message replaces a lost one.
    });
  }
  sent_loads_ = std::move(loads);
  sent_at_ = now;
}

}  // namespace briarspread::batch
