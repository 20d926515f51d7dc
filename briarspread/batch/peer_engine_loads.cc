#include "briarspread/batch/peer_engine_loads.h"

#include <algorithm>
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
  if (reports_.empty()) oldest_ = clock_.Now();
  Report& report = reports_[peer];
  Subtract(report.loads);
  report = Report{std::move(loads), clock_.Now()};
  for (const auto& [engine, n] : report.loads) sums_[engine] += n;
}

std::uint32_t PeerEngineLoads::LoadAt(const UpstreamId& engine) const {
  DropExpired();
  const auto it = sums_.find(engine);
  return it == sums_.end() ? 0 : it->second;
}

void PeerEngineLoads::DropExpired() const {
  const TimePoint now = clock_.Now();
  if (now - oldest_ <= time_to_live_) return;
  oldest_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received > time_to_live_) {
      Subtract(it->second.loads);
      it = reports_.erase(it);
    } else {
      oldest_ = std::min(oldest_, it->second.received);
      ++it;
    }
  }
}

void PeerEngineLoads::Subtract(const EngineLoads& loads) const {
  for (const auto& [engine, n] : loads) {
    std::uint32_t& sum = sums_[engine];
    sum -= n;
    if (sum == 0) sums_.erase(engine);
  }
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
