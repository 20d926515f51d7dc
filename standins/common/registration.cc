#include "standins/common/registration.h"

#include <httplib.h>
#include <signal.h>

#include <nlohmann/json.hpp>

namespace briarspread::standins {
namespace {

std::string KindName(InstanceKind kind) {
  switch (kind) {
    case InstanceKind::kEntry:
      return "entry";
    case InstanceKind::kModelEngine:
      return "engine";
    case InstanceKind::kPlainService:
      return "service";
  }
  return "entry";
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

bool RegisterInstance(const Endpoint& platform,
                      const ListedInstance& instance) {
  const nlohmann::json row = {
      {"ServiceID", instance.name},
      {"ServiceAddress", instance.endpoint.host},
      {"ServicePort", instance.endpoint.port},
      {"ServiceMeta",
       {{"kind", KindName(instance.kind)},
        {"serves", instance.serves},
        {"region", instance.locality.region.value()},
        {"zone", instance.locality.zone.value()},
        {"state",
         instance.state == ListedState::kLeaving ? "leaving" : "live"}}}};
  httplib::Client client(platform.host, platform.port);
  const auto answer =
      client.Put("/v1/catalog/register", row.dump(), "application/json");
  return answer && answer->status == 200;
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  const std::int64_t port = std::strtol(text.c_str() + colon + 1, nullptr, 10);
  if (port <= 0 || port > 65535) return {};
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace briarspread::standins
