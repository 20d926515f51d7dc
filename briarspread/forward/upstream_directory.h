#ifndef BRIARSPREAD_FORWARD_UPSTREAM_DIRECTORY_H_
#define BRIARSPREAD_FORWARD_UPSTREAM_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/forward/departures.h"
#include "briarspread/forward/known_upstream.h"
#include "briarspread/routing/circuit_breaker.h"
#include "briarspread/routing/link_budget.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::forward {

/// Settings of an upstream directory.
struct UpstreamDirectorySettings {
  /// If at least half of a service's registrations, and at least two, disappear
  /// at once, they have most likely expired because the store was down. They
  /// stay in use for this time; upstreams that are alive register again within
  /// it.
  milliseconds mass_expiry_grace{1800};
  CircuitBreakerSettings breaker{2, seconds(1), seconds(4), seconds(2)};
  DeparturesSettings departures;
  SlowStartSettings slow_start;
  /// Maximum age of an upstream that is in slow start although it was known
  /// when this instance started.
  seconds recent_start{5};
};

/// The registered upstreams, with their load and health as measured by this
/// instance. Must be used on the event loop's thread only.
class UpstreamDirectory final {
 public:
  /// Called after an upstream has been removed, or replaced by a later start or
  /// a new endpoint.
  using OnRemoved = std::function<void(const DiscoveredUpstream&)>;
  /// Called when an upstream announces in a response to this instance that it
  /// is leaving and this was not known yet; once for each start.
  using OnDeparture = std::function<void(const UpstreamStart&)>;
  /// Called after an upstream, or a later start of one, has been added.
  using OnAdded = std::function<void(const DiscoveredUpstream&)>;
  /// Called when a known upstream begins to leave and accepts no new requests
  /// from now on.
  using OnLeaving = std::function<void(const DiscoveredUpstream&)>;

  /// Precondition: `clock` outlives this object.
  UpstreamDirectory(const UpstreamDirectorySettings& settings,
                    const Locality& self, const Clock& clock);

  /// Sets whether upstreams that have started or recovered are in slow start.
  /// Off by default.
  void SetSlowStart(bool is_enabled) { has_slow_start_ = is_enabled; }
  /// Sets the names of all instances that use the upstreams, with this one
  /// among them. Shares the limits of slow starts among them.
  void SetInstances(const InstanceId& self, std::vector<std::string> names);
  /// Number of upstreams in slow start.
  std::size_t CountSlowStarts() const { return slow_starts_; }
  /// Number of routing decisions in which a slow start kept a request from an
  /// upstream.
  std::uint64_t held_back() const;

  void SetOnRemoved(OnRemoved on_removed) {
    on_removed_ = std::move(on_removed);
  }
  void SetOnAdded(OnAdded on_added) { on_added_ = std::move(on_added); }
  void SetOnDeparture(OnDeparture on_departure) {
    on_departure_ = std::move(on_departure);
  }
  void SetOnLeaving(OnLeaving on_leaving) {
    on_leaving_ = std::move(on_leaving);
  }

  /// Replaces the set of registrations; removes upstreams that are not in
  /// `listed` as `Remove` does.
  void ReplaceAll(std::vector<DiscoveredUpstream> listed);
  /// Adds or updates one registration.
  void Put(DiscoveredUpstream listed);
  /// Removes upstreams whose registrations disappeared at the same time;
  /// upstreams of a mass expiry are kept for a grace period.
  void Remove(const std::vector<UpstreamId>& ids);
  /// Marks an upstream as leaving because it announced so in a response. No
  /// later registration reverts this for the same start.
  void MarkLeaving(const UpstreamId& id);
  /// Marks a start of an upstream as leaving because another instance reported
  /// its departure.
  void RecordPeerDeparture(const UpstreamStart& start);
  const Departures& departures() const { return departures_; }
  /// Removes upstreams whose grace period has ended, and old departures. Must
  /// be called about every 200 ms.
  void DropExpired();

  /// Returns the upstream, or null where it is unknown. The pointer is valid
  /// until the set of upstreams changes.
  KnownUpstream* Find(const UpstreamId& id);
  const std::map<UpstreamId, KnownUpstream>& all() const { return known_; }

  /// Returns the table from which routers choose, up to date in its members and
  /// their load.
  const RoutingTable& table();

  /// Returns the age of the oldest load report held; zero where no upstream has
  /// reported its load.
  Duration OldestLoadAge() const;

  /// Updates an upstream's load by the header of a response,
  /// `running,queued,slots` and, from some upstreams, `,slowness` in percent of
  /// the usual time of work. Ignores malformed text.
  void UpdateLoad(const UpstreamId& id, const std::string& text);
  /// Updates the loaded version of a model by a response. Ignores a version
  /// lower than the known one.
  void UpdateVersion(const UpstreamId& id, const ModelName& model,
                     WeightVersion version);
  /// Records that the upstream refused a request that it did not run.
  void RecordRefusal(const UpstreamId& id);
  /// Records the begin of a stream, which shows that its work has begun.
  void RecordFirstEvent(const UpstreamId& id);
  void RecordSuccess(const UpstreamId& id);
  void RecordFailure(const UpstreamId& id);

 private:
  void Insert(DiscoveredUpstream listed);
  void SetLeaving(KnownUpstream& upstream);
  /// Begins the slow start of an upstream at `limit`; zero for the default.
  void BeginSlowStart(KnownUpstream& upstream, double limit,
                      std::string_view reason);
  void EndSlowStart(KnownUpstream& upstream);
  void EndSlowStartIfDone(KnownUpstream& upstream);
  void RecordGoodResponse(KnownUpstream& upstream);
  /// Puts the upstream's slow start into the cached table.
  void PublishSlowStart(const KnownUpstream& upstream);
  bool IsRecentStart(const DiscoveredUpstream& listed) const;
  InstanceShare ShareOf(const UpstreamId& id) const;
  void Drop(const UpstreamId& id);
  bool IsMassExpiry(const std::vector<UpstreamId>& ids) const;
  /// Returns the service's limit on open circuit breakers.
  std::shared_ptr<EjectionQuota> QuotaOf(const ServiceName& service);
  /// Sets the limits by the upstreams that are live, and drops those of
  /// services without upstreams.
  void UpdateQuotas();

  const UpstreamDirectorySettings settings_;
  const Locality self_;
  const Clock& clock_;
  OnRemoved on_removed_;
  OnAdded on_added_;
  OnDeparture on_departure_;
  OnLeaving on_leaving_;
  Departures departures_;
  std::map<UpstreamId, KnownUpstream> known_;
  /// Limits on the number of open circuit breakers, by service.
  std::map<ServiceName, std::shared_ptr<EjectionQuota>> quotas_;
  bool has_slow_start_ = false;
  bool has_listed_ = false;
  /// Number of upstreams in slow start.
  std::size_t slow_starts_ = 0;
  /// Held-back requests of slow starts that have ended.
  std::uint64_t held_back_before_ = 0;
  /// Names of the instances, and the index of this one.
  std::vector<std::string> instances_;
  std::size_t self_index_ = 0;
  LinkBudget links_;
  /// Cached table; null after the set of upstreams or a registration has
  /// changed.
  std::unique_ptr<RoutingTable> table_;
  /// Index of each upstream in `table_`.
  std::map<UpstreamId, std::size_t> table_index_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_UPSTREAM_DIRECTORY_H_
