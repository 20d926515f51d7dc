#ifndef BRIARSPREAD_FORWARD_KNOWN_UPSTREAM_H_
#define BRIARSPREAD_FORWARD_KNOWN_UPSTREAM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/forward/departures.h"
#include "briarspread/routing/circuit_breaker.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::forward {

/// A model that an engine has loaded, and the version of its weights.
struct LoadedModel {
  ModelName name;
  WeightVersion version;

  friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// The registration of an upstream in the service catalog.
struct DiscoveredUpstream {
  UpstreamId id;
  ServiceName service;
  Endpoint endpoint;
  Locality locality;
  std::uint32_t slots = 1;
  /// Version of its software. What two versions write does not fit together.
  SoftwareVersion software;
  /// Whether the upstream accepts no new requests.
  bool is_leaving = false;
  /// Loaded models; empty for a plain service.
  std::vector<LoadedModel> models;
  /// Identifies this start of the upstream: its start time in milliseconds
  /// since the Unix epoch, by the upstream's clock.
  std::uint64_t start_id = 0;
};

/// Returns the start that the registration names. Thread-safe.
inline UpstreamStart StartOf(const DiscoveredUpstream& listed) {
  return {listed.id, listed.start_id};
}

/// A registered upstream, with its load and health as measured by this
/// instance.
struct KnownUpstream {
  DiscoveredUpstream listed;
  std::shared_ptr<UpstreamCounters> counters;
  std::shared_ptr<CircuitBreaker> breaker;
  /// The load that the upstream last reported in a response.
  LoadReport load;
  /// Time until which the upstream is known to refuse new requests.
  TimePoint refuses_until{};
  /// Moving average of the time between two events of a stream; zero before the
  /// first measurement.
  Duration event_interval{0};
  /// When `event_interval` was last updated.
  TimePoint interval_measured{};
  /// Estimated slowness of the machine while `event_interval` was measured,
  /// averaged like the interval itself.
  double slowness_at_measurement = 1.0;
  /// When the upstream is removed unless it registers again; unset while it is
  /// registered.
  std::optional<TimePoint> expires;
  /// The upstream's slow start; null if it is not in one.
  std::shared_ptr<PacedUpstream> slow_start;

  /// Updates `load` by the header of a response that arrived at `now`, in the
  /// format of `UpstreamDirectory::UpdateLoad`. Returns false, without effect,
  /// if the text is malformed.
  bool UpdateLoad(std::string_view text, TimePoint now);
  /// Returns the loaded version of a model; zero where the model is not loaded.
  WeightVersion VersionOf(const ModelName& model) const;
  /// Updates `event_interval` with the time between two events that ended at
  /// `now`.
  void RecordEventInterval(Duration taken, TimePoint now);
  /// Returns the expected time between two events of a stream at `now`: the
  /// measured one, scaled by the change of the reported slowness since then;
  /// zero before the first measurement.
  Duration ExpectedEventInterval(TimePoint now) const;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_KNOWN_UPSTREAM_H_
