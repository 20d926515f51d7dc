#include "briarspread/batch/engine_view_cache.h"

#include <algorithm>

#include "briarspread/core/rendezvous.h"

namespace briarspread::batch {
namespace {

/// Number of engines of a service from which an instance prefers those that it
/// is connected to. It can keep connections to all of fewer.
constexpr std::size_t kManyEngines = 64;

}  // namespace

void EngineViewCache::Start(EngineTokens own_tokens) {
  now_ = context_.clock.Now();
  own_tokens_ = std::move(own_tokens);
  views_.clear();
}

const EngineViewCache::EngineViews& EngineViewCache::Of(
    const ServiceName& service, const ModelName& model) {
  const auto [it, is_new] = views_.try_emplace(Key(service, model));
  if (!is_new) return it->second;
  const forward::Service* known =
      context_.configuration.current()->FindService(service);
  for (const auto& [id, engine] : context_.directory.all()) {
    if (engine.listed.service != service) continue;
    it->second.push_back(MakeView(engine, model, known));
  }
  if (it->second.size() >= kManyEngines) {
    for (EngineView& view : it->second) {
      SetConnection(*context_.directory.Find(view.id), view);
    }
  }
  return it->second;
}

void EngineViewCache::Update(const UpstreamId& engine, std::int64_t tokens) {
  own_tokens_[engine] += tokens;
  const forward::KnownUpstream* known = context_.directory.Find(engine);
  if (known == nullptr) return;
  for (auto& [key, views] : views_) {
    if (key.first != known->listed.service) continue;
    const auto it =
        std::lower_bound(views.begin(), views.end(), engine,
                         [](const EngineView& view, const UpstreamId& id) {
                           return view.id < id;
                         });
    if (it == views.end() || it->id != engine) continue;
    *it = MakeView(*known, key.second,
                   context_.configuration.current()->FindService(key.first));
    if (views.size() >= kManyEngines) SetConnection(*known, *it);
  }
}

void EngineViewCache::SetConnection(const forward::KnownUpstream& engine,
                                    EngineView& view) const {
  view.is_one_of_many = true;
  view.has_idle_connection =
      context_.upstreams.pool().HasIdle(engine.listed.endpoint);
  view.affinity = StableHash(view.id.value(), StableHash(self_.name.value()));
}

EngineView EngineViewCache::MakeView(const forward::KnownUpstream& engine,
                                     const ModelName& model,
                                     const forward::Service* service) const {
  /// Maximum age of an engine's load report.
  constexpr milliseconds kMaxLoadReportAge{500};
  /// Maximum age of a measured event interval.
  constexpr milliseconds kMaxIntervalAge{4000};
  const UpstreamId& id = engine.listed.id;
  EngineView view;
  view.id = id;
  view.slots = std::max<std::uint32_t>(
      1, engine.load.slots > 0 ? engine.load.slots : engine.listed.slots);
  view.own_in_flight = engine.counters->in_flight.load();
  if (now_ - engine.load.received < kMaxLoadReportAge) {
    view.reported_load = engine.load.running + engine.load.queued;
    view.own_in_flight_at_report = engine.load.own_in_flight;
  }
  view.peer_in_flight = peer_loads_.LoadAt(id);
  if (service != nullptr && service->memory_tokens > 0) {
    const auto used = own_tokens_.find(id);
    view.free_tokens = static_cast<std::int64_t>(service->memory_tokens) -
                       (used == own_tokens_.end() ? 0 : used->second);
  }
  view.software = engine.listed.software;
  view.version = engine.VersionOf(model);
  view.is_leaving = engine.listed.is_leaving;
  view.is_usable = !engine.listed.is_leaving && now_ >= engine.refuses_until &&
                   engine.breaker->Allows(now_);
  view.has_permit =
      context_.limiter.HasPermit(id, forward::RequestPurpose::kItem);
  view.is_same_region = engine.listed.locality.region == self_.locality.region;
  view.event_interval = engine.ExpectedEventInterval(now_);
  view.is_interval_fresh = now_ - engine.interval_measured < kMaxIntervalAge;
  if (engine.slow_start != nullptr) view.paced = PacedSlotsOf(engine);
  return view;
}

PacedSlots EngineViewCache::PacedSlotsOf(
    const forward::KnownUpstream& engine) const {
  // Only the instances that run items share the limit.
  const InstanceShare share = peer_loads_.ShareOf(engine.listed.id, self_.name);
  const SlowStart& limit = engine.slow_start->limit;
  return {static_cast<std::uint32_t>(limit.LimitAt(now_)),
          limit.AllowanceAt(now_, share)};
}

}  // namespace briarspread::batch
