#include "briarspread/forward/upstream_directory.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace briarspread::forward {
UpstreamDirectory::UpstreamDirectory(const UpstreamDirectorySettings& settings,
                                     const Locality& self, const Clock& clock)
    : settings_(settings),
      self_(self),
      clock_(clock),
      departures_(settings.departures, clock) {}

void UpstreamDirectory::ReplaceAll(std::vector<DiscoveredUpstream> listed) {
  std::set<UpstreamId> present;
  for (const DiscoveredUpstream& upstream : listed) present.insert(upstream.id);
  std::vector<UpstreamId> missing;
  for (const auto& [id, upstream] : known_) {
    if (!present.contains(id) && !upstream.expires.has_value()) {
      missing.push_back(id);
    }
  }
  Remove(missing);
  for (DiscoveredUpstream& upstream : listed) Insert(std::move(upstream));
  has_listed_ = true;
  LOG(INFO) << "event=upstreams_listed upstreams=" << known_.size()
            << " gone=" << missing.size();
}

void UpstreamDirectory::Put(DiscoveredUpstream listed) {
  const KnownUpstream* known = Find(listed.id);
  const bool is_change = known == nullptr ||
                         known->listed.is_leaving != listed.is_leaving ||
                         known->listed.start_id != listed.start_id ||
                         known->listed.software != listed.software;
  if (is_change) {
    LOG(INFO) << "event=upstream_changed upstream=" << listed.id
              << " service=" << listed.service
              << " software=" << listed.software
              << " is_new=" << (known == nullptr)
              << " is_leaving=" << listed.is_leaving;
  }
  Insert(std::move(listed));
}

void UpstreamDirectory::Insert(DiscoveredUpstream listed) {
  // Registrations may arrive out of order, and may be older than what the
  // upstream itself announced: once a start is leaving, it remains so.
  const UpstreamStart start{listed.id, listed.start_id};
  if (listed.is_leaving) {
    departures_.Record(start);
  } else {
    listed.is_leaving = departures_.HasLeft(start);
  }
  const auto it = known_.find(listed.id);
  if (it != known_.end() && it->second.listed.start_id == listed.start_id &&
      it->second.listed.endpoint == listed.endpoint) {
    KnownUpstream& upstream = it->second;
    upstream.expires.reset();
    // Responses may have reported a later version than the registration does.
    for (LoadedModel& loaded : listed.models) {
      loaded.version =
          std::max(loaded.version, upstream.VersionOf(loaded.name));
    }
    if (upstream.listed.service != listed.service) {
      upstream.breaker = std::make_shared<CircuitBreaker>(
          settings_.breaker, QuotaOf(listed.service));
    }
    const bool leaves_now = listed.is_leaving && !upstream.listed.is_leaving;
    upstream.listed = std::move(listed);
    table_.reset();
    if (leaves_now && on_leaving_) on_leaving_(upstream.listed);
    return;
  }
  if (it != known_.end()) Drop(listed.id);
  KnownUpstream upstream;
  upstream.counters = std::make_shared<UpstreamCounters>();
  upstream.breaker = std::make_shared<CircuitBreaker>(settings_.breaker,
                                                      QuotaOf(listed.service));
  upstream.load.slots = listed.slots;
  upstream.listed = std::move(listed);
  const UpstreamId id = upstream.listed.id;
  const auto added = known_.insert_or_assign(id, std::move(upstream)).first;
  table_.reset();
  // What was there when this instance started may have run for long.
  if (has_listed_ || IsRecentStart(added->second.listed)) {
    BeginSlowStart(added->second, 0, "started");
  }
  if (on_added_) on_added_(added->second.listed);
}

bool UpstreamDirectory::IsRecentStart(const DiscoveredUpstream& listed) const {
  const std::int64_t now_ms = std::chrono::duration_cast<milliseconds>(
                                  clock_.WallNow().time_since_epoch())
                                  .count();
  const std::int64_t age_ms =
      now_ms - static_cast<std::int64_t>(listed.start_id);
  return age_ms >= 0 && milliseconds(age_ms) <= settings_.recent_start;
}

void UpstreamDirectory::SetLeaving(KnownUpstream& upstream) {
  if (upstream.listed.is_leaving) return;
  upstream.listed.is_leaving = true;
  table_.reset();
  if (on_leaving_) on_leaving_(upstream.listed);
}

void UpstreamDirectory::MarkLeaving(const UpstreamId& id) {
  KnownUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  const UpstreamStart start{id, upstream->listed.start_id};
  if (!departures_.Record(start)) return;
  LOG(INFO) << "event=upstream_leaves upstream=" << id
            << " start=" << start.start_id
            << " was_leaving=" << upstream->listed.is_leaving;
  SetLeaving(*upstream);
  if (on_departure_) on_departure_(start);
}

void UpstreamDirectory::RecordPeerDeparture(const UpstreamStart& start) {
  if (!departures_.Record(start)) return;
  LOG(INFO) << "event=upstream_leaves_told upstream=" << start.id
            << " start=" << start.start_id;
  KnownUpstream* upstream = Find(start.id);
  if (upstream == nullptr) return;
  if (departures_.HasLeft({start.id, upstream->listed.start_id})) {
    SetLeaving(*upstream);
  }
}

bool UpstreamDirectory::IsMassExpiry(const std::vector<UpstreamId>& ids) const {
  if (ids.size() < 2) return false;
  std::map<ServiceName, std::size_t> gone;
  std::map<ServiceName, std::size_t> all;
  for (const auto& [id, upstream] : known_) {
    if (!upstream.listed.is_leaving) ++all[upstream.listed.service];
  }
  for (const UpstreamId& id : ids) {
    const auto it = known_.find(id);
    if (it != known_.end() && !it->second.listed.is_leaving) {
      ++gone[it->second.listed.service];
    }
  }
  return std::any_of(gone.begin(), gone.end(), [&](const auto& entry) {
    return entry.second >= 2 && entry.second * 2 >= all[entry.first];
  });
}

void UpstreamDirectory::Remove(const std::vector<UpstreamId>& ids) {
  const bool has_grace = IsMassExpiry(ids);
  const TimePoint expires = clock_.Now() + settings_.mass_expiry_grace;
  for (const UpstreamId& id : ids) {
    const auto it = known_.find(id);
    if (it == known_.end()) continue;
    if (has_grace && !it->second.listed.is_leaving) {
      if (!it->second.expires.has_value()) it->second.expires = expires;
      continue;
    }
    Drop(id);
  }
}

void UpstreamDirectory::Drop(const UpstreamId& id) {
  const auto it = known_.find(id);
  if (it == known_.end()) return;
  const DiscoveredUpstream listed = it->second.listed;
  LOG(INFO) << "event=upstream_gone upstream=" << id
            << " service=" << listed.service
            << " was_leaving=" << listed.is_leaving;
  if (it->second.slow_start != nullptr) EndSlowStart(it->second);
  known_.erase(it);
  table_.reset();
  if (on_removed_) on_removed_(listed);
}

void UpstreamDirectory::DropExpired() {
  departures_.DropOld();
  for (auto& [id, upstream] : known_) EndSlowStartIfDone(upstream);
  std::vector<UpstreamId> expired;
  for (const auto& [id, upstream] : known_) {
    if (upstream.expires.has_value() && clock_.Now() >= *upstream.expires) {
      expired.push_back(id);
    }
  }
  for (const UpstreamId& id : expired) Drop(id);
}

KnownUpstream* UpstreamDirectory::Find(const UpstreamId& id) {
  const auto it = known_.find(id);
  return it == known_.end() ? nullptr : &it->second;
}

std::shared_ptr<EjectionQuota> UpstreamDirectory::QuotaOf(
    const ServiceName& service) {
  std::shared_ptr<EjectionQuota>& quota = quotas_[service];
  if (quota == nullptr) quota = std::make_shared<EjectionQuota>();
  return quota;
}

void UpstreamDirectory::UpdateQuotas() {
  std::map<ServiceName, std::uint32_t> live;
  for (const auto& [id, upstream] : known_) {
    std::uint32_t& count = live[upstream.listed.service];
    if (!upstream.listed.is_leaving) ++count;
  }
  std::erase_if(quotas_,
                [&live](const auto& it) { return !live.contains(it.first); });
  for (const auto& [service, count] : live) {
    QuotaOf(service)->SetLimit(count / 2);
  }
}

const RoutingTable& UpstreamDirectory::table() {
  if (table_ != nullptr) return *table_;
  std::vector<UpstreamView> views;
  for (const auto& [id, upstream] : known_) {
    const DiscoveredUpstream& listed = upstream.listed;
    ListedInstance row{
        id.value(),
        InstanceKind::kPlainService,
        listed.service.value(),
        listed.endpoint,
        listed.locality,
        listed.is_leaving ? ListedState::kLeaving : ListedState::kLive,
        listed.software};
    views.push_back(UpstreamView{std::move(row), upstream.load,
                                 upstream.counters, InstanceShare{},
                                 upstream.breaker, upstream.slow_start});
  }
  UpdateQuotas();
  table_ = MakeRoutingTable(std::move(views), self_, links_);
  table_index_.clear();
  for (std::size_t i = 0; i < table_->upstreams.size(); ++i) {
    table_index_[UpstreamId(table_->upstreams[i].listed.name)] = i;
  }
  return *table_;
}

void UpstreamDirectory::UpdateLoad(const UpstreamId& id,
                                   const std::string& text) {
  KnownUpstream* upstream = Find(id);
  if (upstream == nullptr || !upstream->UpdateLoad(text, clock_.Now())) return;
  if (upstream->slow_start != nullptr) {
    upstream->slow_start->limit.OnReport(upstream->load);
  }
  const auto it = table_index_.find(id);
  if (table_ != nullptr && it != table_index_.end()) {
    table_->upstreams[it->second].load = upstream->load;
  }
}

Duration UpstreamDirectory::OldestLoadAge() const {
  Duration oldest{0};
  for (const auto& [id, upstream] : known_) {
    if (upstream.load.received == TimePoint{}) continue;
    oldest = std::max<Duration>(oldest, clock_.Now() - upstream.load.received);
  }
  return oldest;
}

void UpstreamDirectory::UpdateVersion(const UpstreamId& id,
                                      const ModelName& model,
                                      WeightVersion version) {
  KnownUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  for (LoadedModel& loaded : upstream->listed.models) {
    if (loaded.name != model) continue;
    loaded.version = std::max(loaded.version, version);
  }
}

void UpstreamDirectory::RecordSuccess(const UpstreamId& id) {
  KnownUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  const bool was_open = upstream->breaker->is_open();
  upstream->breaker->OnSuccess(clock_.Now());
  if (was_open && !upstream->breaker->is_open()) {
    BeginSlowStart(*upstream, 0, "recovered");
  } else {
    RecordGoodResponse(*upstream);
  }
}

void UpstreamDirectory::RecordFailure(const UpstreamId& id) {
  if (KnownUpstream* upstream = Find(id)) {
    upstream->breaker->OnFailure(clock_.Now());
    if (upstream->slow_start != nullptr) {
      upstream->slow_start->limit.OnRefusal(clock_.Now());
    }
  }
}

// --- Slow start

void UpstreamDirectory::RecordRefusal(const UpstreamId& id) {
  KnownUpstream* upstream = Find(id);
  if (upstream == nullptr || upstream->listed.is_leaving) return;
  if (upstream->slow_start != nullptr) {
    upstream->slow_start->limit.OnRefusal(clock_.Now());
    return;
  }
  // It ran the requests of its last report, so half as many are a safe begin.
  const double limit = upstream->load.running / 2.0;
  BeginSlowStart(*upstream, std::max(1.0, limit), "refused");
}

void UpstreamDirectory::RecordFirstEvent(const UpstreamId& id) {
  if (KnownUpstream* upstream = Find(id)) RecordGoodResponse(*upstream);
}

void UpstreamDirectory::RecordGoodResponse(KnownUpstream& upstream) {
  if (upstream.slow_start == nullptr) return;
  upstream.slow_start->limit.OnGoodResponse(upstream.slow_start->share.count,
                                            clock_.Now());
  EndSlowStartIfDone(upstream);
}

void UpstreamDirectory::BeginSlowStart(KnownUpstream& upstream, double limit,
                                       std::string_view reason) {
  if (!has_slow_start_ || upstream.listed.is_leaving) return;
  if (upstream.slow_start != nullptr) EndSlowStart(upstream);
  ++slow_starts_;
  const std::uint32_t slots = std::max(1U, upstream.load.slots);
  const UpstreamId& id = upstream.listed.id;
  upstream.slow_start = std::make_shared<PacedUpstream>(
      PacedUpstream{SlowStart(settings_.slow_start, slots, limit, clock_.Now()),
                    ShareOf(id)});
  LOG(INFO) << "event=slow_start_began upstream=" << id << " reason=" << reason
            << " limit=" << upstream.slow_start->limit.LimitAt(clock_.Now())
            << " slots=" << slots
            << " instances=" << upstream.slow_start->share.count;
  PublishSlowStart(upstream);
}

void UpstreamDirectory::EndSlowStart(KnownUpstream& upstream) {
  const PacedUpstream& paced = *upstream.slow_start;
  const TimePoint now = clock_.Now();
  LOG(INFO) << "event=slow_start_ended upstream=" << upstream.listed.id
            << " limit=" << paced.limit.LimitAt(now) << " ms="
            << std::chrono::duration_cast<milliseconds>(now -
                                                        paced.limit.began())
                   .count()
            << " held_back=" << paced.held_back;
  held_back_before_ += paced.held_back;
  --slow_starts_;
  upstream.slow_start.reset();
  PublishSlowStart(upstream);
}

void UpstreamDirectory::EndSlowStartIfDone(KnownUpstream& upstream) {
  if (upstream.slow_start == nullptr) return;
  if (upstream.slow_start->limit.HasEnded(clock_.Now())) {
    EndSlowStart(upstream);
  }
}

void UpstreamDirectory::PublishSlowStart(const KnownUpstream& upstream) {
  const auto it = table_index_.find(upstream.listed.id);
  if (table_ != nullptr && it != table_index_.end()) {
    table_->upstreams[it->second].slow_start = upstream.slow_start;
  }
}

void UpstreamDirectory::SetInstances(const InstanceId& self,
                                     std::vector<std::string> names) {
  if (std::find(names.begin(), names.end(), self.value()) == names.end()) {
    names.push_back(self.value());
  }
  instances_ = std::move(names);
  self_index_ = static_cast<std::size_t>(
      std::find(instances_.begin(), instances_.end(), self.value()) -
      instances_.begin());
  for (auto& [id, upstream] : known_) {
    if (upstream.slow_start != nullptr) {
      upstream.slow_start->share = ShareOf(id);
    }
  }
}

InstanceShare UpstreamDirectory::ShareOf(const UpstreamId& id) const {
  if (instances_.empty()) return InstanceShare{};
  return RendezvousShare(id.value(), instances_, self_index_);
}

std::uint64_t UpstreamDirectory::held_back() const {
  std::uint64_t n = held_back_before_;
  for (const auto& [id, upstream] : known_) {
    if (upstream.slow_start != nullptr) n += upstream.slow_start->held_back;
  }
  return n;
}

}  // namespace briarspread::forward
