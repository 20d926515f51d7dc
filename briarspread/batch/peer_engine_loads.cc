#include "briarspread/batch/peer_engine_loads.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/routing/slow_start.h"

namespace briarspread::batch {

std::string FormatEngineLoads(const EngineLoads& loads) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [engine, n] : loads) json[engine.value()] = n;
  return json.dump();
}

std::optional<EngineLoads> ParseEngineLoads(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  EngineLoads loads;
  for (const auto& [engine, n] : json.items()) {
    if (!n.is_number_unsigned()) return std::nullopt;
    loads[UpstreamId(engine)] = n.get<std::uint32_t>();
  }
  return loads;
}

void PeerEngineLoads::Put(const InstanceId& peer, EngineLoads loads) {
  reports_[peer] = Report{std::move(loads), clock_.Now()};
}

std::uint32_t PeerEngineLoads::LoadAt(const UpstreamId& engine) const {
  std::uint32_t n = 0;
  for (const auto& [peer, report] : reports_) {
    if (clock_.Now() - report.received > time_to_live_) continue;
    const auto it = report.loads.find(engine);
    if (it != report.loads.end()) n += it->second;
  }
  return n;
}

InstanceShare PeerEngineLoads::ShareOf(const UpstreamId& engine,
                                       const InstanceId& self) const {
  std::vector<std::string> names{self.value()};
  for (const auto& [peer, report] : reports_) {
    if (peer == self || report.loads.empty()) continue;
    if (clock_.Now() - report.received > time_to_live_) continue;
    names.push_back(peer.value());
  }
  return RendezvousShare(engine.value(), names, 0);
}

}  // namespace briarspread::batch
