#include "briarspread/weights/wave_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace briarspread {
namespace {

bool IsServing(SwapState state) {
  return state == SwapState::kPending || state == SwapState::kLoaded;
}

}  // namespace

WavePlanner::WavePlanner(const WavePlannerSettings& settings)
    : settings_(settings) {
  assert(settings_.live_floor >= 0 && settings_.live_floor <= 1);
  assert(settings_.fan_out > 0);
}

void WavePlanner::SetReplicas(const std::vector<Replica>& replicas) {
  std::set<UpstreamId> named;
  for (const Replica& replica : replicas) named.insert(replica.id);
  for (auto it = slots_.begin(); it != slots_.end();) {
    if (named.contains(it->first)) {
      ++it;
      continue;
    }
    ExitState(it->first, it->second);
    --zones_[it->second.replica.locality.zone].total;
    --regions_[it->second.replica.locality.region].total;
    it = slots_.erase(it);
  }
  for (const Replica& replica : replicas) {
    const auto [it, is_new] = slots_.try_emplace(replica.id);
    if (is_new) {
      it->second.replica = replica;
      Zone& zone = zones_[replica.locality.zone];
      zone.region = replica.locality.region;
      ++zone.total;
      ++regions_[zone.region].total;
    }
    it->second.replica.endpoint = replica.endpoint;
    it->second.replica.checks_fencing = replica.checks_fencing;
  }
}

void WavePlanner::SetState(const UpstreamId& id, SwapState state) {
  const auto it = slots_.find(id);
  if (it == slots_.end()) return;
  ExitState(id, it->second);
  EnterState(id, it->second, state);
}

void WavePlanner::EnterState(const UpstreamId& id, Slot& slot,
                             SwapState state) {
  slot.state = state;
  Zone& zone = zones_[slot.replica.locality.zone];
  Region& region = regions_[zone.region];
  if (IsServing(state)) {
    ++zone.serving;
    ++region.serving;
    ++serving_;
  }
  if (state == SwapState::kPending) zone.pending.insert(id);
  if (state == SwapState::kRetry) zone.retry.insert(id);
  if (state == SwapState::kLoaded) {
    ++loaded_;
    region.sources.insert({active_loads_[id], id});
  }
}

void WavePlanner::ExitState(const UpstreamId& id, Slot& slot) {
  Zone& zone = zones_[slot.replica.locality.zone];
  Region& region = regions_[zone.region];
  if (IsServing(slot.state)) {
    --zone.serving;
    --region.serving;
    --serving_;
  }
  zone.pending.erase(id);
  zone.retry.erase(id);
  if (slot.state == SwapState::kLoaded) {
    --loaded_;
    region.sources.erase({active_loads_[id], id});
  }
  if (region.puller == id) region.puller.reset();
  if (slot.source.has_value()) ReleaseSource(region, *slot.source);
  slot.source.reset();
  slot.state = SwapState::kOut;
}

void WavePlanner::ReleaseSource(Region& region, const UpstreamId& source) {
  std::uint32_t& count = active_loads_[source];
  const bool is_source = region.sources.erase({count, source}) > 0;
  if (count > 0) --count;
  if (is_source) region.sources.insert({count, source});
}

std::size_t WavePlanner::FloorOf(const Zone& zone) const {
  if (zone.total == 0) return 0;
  const auto wanted = static_cast<std::size_t>(
      std::ceil(settings_.live_floor * static_cast<double>(zone.total)));
  return std::min(wanted, zone.total - 1);
}

bool WavePlanner::CanTakeOut(const Zone& zone, const Region& region) const {
  if (zone.serving <= FloorOf(zone)) return false;
  if (zone.serving > 1 || region.serving > 1) return true;
  const bool alone_in_region = region.total == 1;
  return alone_in_region && (serving_ > 1 || slots_.size() == 1);
}

bool WavePlanner::Assign(const UpstreamId& id, Region& region,
                         std::vector<SwapAssignment>& out) {
  std::optional<UpstreamId> source;
  if (region.sources.empty()) {
    if (region.puller.has_value()) return false;
  } else {
    const auto [count, least] = *region.sources.begin();
    if (count >= settings_.fan_out) return false;
    source = least;
  }
  SetState(id, SwapState::kLoading);
  if (source.has_value()) {
    std::uint32_t& count = active_loads_[*source];
    region.sources.erase({count, *source});
    region.sources.insert({++count, *source});
  } else {
    region.puller = id;
  }
  slots_[id].source = source;
  out.push_back({id, source});
  return true;
}

std::vector<SwapAssignment> WavePlanner::NextAssignments() {
  std::vector<SwapAssignment> out;
  for (auto& [name, zone] : zones_) {
    Region& region = regions_[zone.region];
    // These replicas are out of rotation already, so a retry does not reduce
    // the number that serve.
    while (!zone.retry.empty()) {
      if (!Assign(UpstreamId(*zone.retry.begin()), region, out)) break;
    }
    while (!zone.pending.empty() && CanTakeOut(zone, region)) {
      if (!Assign(UpstreamId(*zone.pending.begin()), region, out)) break;
    }
  }
  return out;
}

SwapState WavePlanner::State(const UpstreamId& id) const {
  const auto it = slots_.find(id);
  return it == slots_.end() ? SwapState::kOut : it->second.state;
}

const Replica* WavePlanner::Find(const UpstreamId& id) const {
  const auto it = slots_.find(id);
  return it == slots_.end() ? nullptr : &it->second.replica;
}

std::size_t WavePlanner::Serving(const ZoneId& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? 0 : it->second.serving;
}

std::size_t WavePlanner::Floor(const ZoneId& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? 0 : FloorOf(it->second);
}

}  // namespace briarspread
