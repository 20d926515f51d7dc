#ifndef BRIARSPREAD_FORWARD_UPSTREAM_DIRECTORY_H_
#define BRIARSPREAD_FORWARD_UPSTREAM_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/forward/departures.h"
#include "briarspread/routing/circuit_breaker.h"
#include "briarspread/routing/link_budget.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::forward {

/// A model as an engine has it loaded.
struct LoadedModel {
  ModelName name;
  WeightVersion version;

  friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// An upstream as it registers itself.
struct DiscoveredUpstream {
  UpstreamId id;
  ServiceName service;
  Endpoint endpoint;
  Locality locality;
  std::uint32_t slots = 1;
  /// Takes no new requests.
  bool is_leaving = false;
  /// Empty for plain services.
  std::vector<LoadedModel> models;
  /// Names this start of it: the time of day in milliseconds, as it says.
  std::uint64_t start_id = 0;
};

/// An upstream and what this instance knows of it.
struct KnownUpstream {
  DiscoveredUpstream listed;
  std::shared_ptr<UpstreamCounters> counters;
  std::shared_ptr<CircuitBreaker> breaker;
  /// What it last said of its load, here or in an answer.
  LoadReport load;
  /// Until when it is known to refuse requests that have not started.
  TimePoint refuses_until{};
  /// Moving average of the time between two events of a stream; zero before
  /// the first.
  Duration event_interval{0};
  /// When `event_interval` last changed.
  TimePoint interval_measured{};
  /// When it is dropped unless it registers again; unset while it is listed.
  std::optional<TimePoint> expires;

  /// The version of a model that it has loaded; zero where it has none.
  WeightVersion VersionOf(const ModelName& model) const;
};

/// Settings of the directory.
struct UpstreamDirectorySettings {
  /// Where at least half of a service's registrations, and more than one, went
  /// at once, the store has most likely let them lapse while it was down. They
  /// stay in use this long; those alive register again within it.
  milliseconds mass_expiry_grace{1800};
  CircuitBreakerSettings breaker{2, seconds(1), seconds(4), seconds(2)};
  DeparturesSettings departures;
};

/// The upstreams that are registered, with this instance's knowledge of their
/// load and health. Loop's thread only.
class UpstreamDirectory final {
 public:
  /// Called with an upstream that is gone.
  using OnGone = std::function<void(const DiscoveredUpstream&)>;
  /// Called with a start of an upstream that said here that it leaves.
  using OnDeparture = std::function<void(const UpstreamStart&)>;
  /// Called with an upstream that takes no new requests from now on.
  using OnLeaving = std::function<void(const DiscoveredUpstream&)>;

  /// Precondition: `clock` outlives this object.
  UpstreamDirectory(const UpstreamDirectorySettings& settings,
                    const Locality& self, const Clock& clock);

  void SetOnGone(OnGone on_gone) { on_gone_ = std::move(on_gone); }
  void SetOnDeparture(OnDeparture on_departure) {
    on_departure_ = std::move(on_departure);
  }
  void SetOnLeaving(OnLeaving on_leaving) {
    on_leaving_ = std::move(on_leaving);
  }

  /// Takes all registrations; others are gone.
  void ReplaceAll(std::vector<DiscoveredUpstream> listed);
  /// Takes one registration, new or changed.
  void Put(DiscoveredUpstream listed);
  /// Drops registrations that went together.
  void Remove(const std::vector<UpstreamId>& ids);
  /// Notes that an upstream said in an answer that it leaves. No list of
  /// upstreams undoes that for this start of it.
  void NoteLeaving(const UpstreamId& id);
  /// Takes what another instance heard of a start of an upstream.
  void TakeDeparture(const UpstreamStart& start);
  const Departures& departures() const { return departures_; }
  /// Drops those whose grace has passed. To be called about every 200 ms.
  void DropExpired();

  /// Null where it is not known. Valid until the next change.
  KnownUpstream* Find(const UpstreamId& id);
  const std::map<UpstreamId, KnownUpstream>& all() const { return known_; }

  /// The table that routers choose from, current in members and load.
  const RoutingTable& table();

  /// How long ago the upstream heard of longest ago told its load; zero where
  /// none has.
  Duration OldestLoadAge() const;

  /// Notes what an answer said of the load: `running,queued,slots`. Malformed
  /// text changes nothing.
  void NoteLoad(const UpstreamId& id, const std::string& text);
  /// Notes a version seen in an answer.
  void NoteVersion(const UpstreamId& id, const ModelName& model,
                   WeightVersion version);
  void NoteSuccess(const UpstreamId& id);
  void NoteFailure(const UpstreamId& id);

 private:
  void Insert(DiscoveredUpstream listed);
  void SetLeaving(KnownUpstream& upstream);
  void Drop(const UpstreamId& id);
  bool IsMassExpiry(const std::vector<UpstreamId>& ids) const;

  const UpstreamDirectorySettings settings_;
  const Locality self_;
  const Clock& clock_;
  OnGone on_gone_;
  OnDeparture on_departure_;
  OnLeaving on_leaving_;
  Departures departures_;
  std::map<UpstreamId, KnownUpstream> known_;
  /// Bounds open breakers by service.
  std::map<ServiceName, std::shared_ptr<EjectionQuota>> quotas_;
  LinkBudget links_;
  /// Null once members have changed.
  std::unique_ptr<RoutingTable> table_;
  /// Where each upstream stands in `table_`.
  std::map<UpstreamId, std::size_t> table_index_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_UPSTREAM_DIRECTORY_H_
