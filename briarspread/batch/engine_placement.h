#ifndef BRIARSPREAD_BATCH_ENGINE_PLACEMENT_H_
#define BRIARSPREAD_BATCH_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::batch {

/// Limits of the slow start of an engine.
struct PacedSlots {
  /// Limit for the requests of all instances together.
  std::uint32_t total = 1;
  /// Limit for the requests of this instance.
  std::uint32_t own = 1;
};

/// State of an engine that placement decides by.
struct EngineView {
  UpstreamId id;
  std::uint32_t slots = 1;
  /// Requests of this instance in flight at the engine, running or queued.
  std::uint32_t own_in_flight = 0;
  /// Items of other instances at the engine, by their last reports.
  std::uint32_t peer_in_flight = 0;
  /// Requests of all instances that run or queue at the engine, by its last
  /// load report; zero if there is none or it is too old.
  std::uint32_t reported_load = 0;
  /// Requests of this instance in flight at the time of that report.
  std::uint32_t own_in_flight_at_report = 0;
  /// Estimate of the memory, in tokens, that own items leave free on the
  /// engine. Nothing if the size of its memory is unknown.
  std::optional<std::int64_t> free_tokens;
  /// Version of the engine's software.
  SoftwareVersion software;
  /// The version of the item's model that the engine has loaded.
  WeightVersion version;
  /// Whether the engine accepts no new requests any more.
  bool is_leaving = false;
  /// Whether the engine accepts requests now: it is not leaving, did not refuse
  /// a request just now, and its circuit breaker allows requests.
  bool is_usable = true;
  /// Whether the engine has no limit or an item may be sent within it now.
  bool has_permit = true;
  bool is_same_region = true;
  /// Expected time between two events of the engine's streams, from measured
  /// events and the reported slowness of the machine; zero if unknown.
  Duration event_interval{0};
  /// Whether `event_interval` was measured recently.
  bool is_interval_fresh = false;
  /// Whether the service has so many engines that this instance is to use a
  /// part of them only, so that it opens few connections. The two values below
  /// are used only then.
  bool is_one_of_many = false;
  /// Whether this instance has an idle connection to the engine.
  bool has_idle_connection = false;
  /// Rendezvous weight of the engine for this instance: instances that see the
  /// same engines idle begin with different ones.
  std::uint64_t affinity = 0;
  /// Limits of the engine's slow start; nothing if it is not in one.
  std::optional<PacedSlots> paced;
};

/// What an item requires of its engine.
struct EngineRequirements {
  WeightVersion oldest_allowed;
  /// Engines that must not be chosen: an earlier run of the item broke or
  /// stalled there, or was moved away.
  std::vector<UpstreamId> avoided_engines;
  /// Engine that last ran an item of the same group and therefore has their
  /// prompt cached; empty if there is none.
  UpstreamId preferred_engine;
  /// Estimate of the memory that the item needs, in tokens.
  std::int64_t tokens = 0;
  /// Expected length of the item relative to the mean of its job.
  double relative_length = 1;
  /// The software version that the engine must have, since the item's text goes
  /// on there; empty if it begins.
  SoftwareVersion software{};
};

/// Settings of `EnginePlacement`, in units of load: 1 is an engine with all
/// slots taken.
struct EnginePlacementSettings {
  /// Load added to engines in another region.
  double other_region_penalty = 0.1;
  /// Load subtracted from the engine that has the prompt cached.
  double cached_prompt_bonus = 0.1;
  /// Load added to an engine for an item of mean length, per multiple of the
  /// fastest engine's event interval by which its own is longer. Scales with
  /// the relative length of the item.
  double slowness_penalty = 0.5;
  /// Upper limit of the relative length in this calculation.
  double max_relative_length = 2.5;
  /// An engine counts as slow if its event interval is more than this many
  /// times that of the fastest engine.
  double slow_ratio = 2.0;
  /// Load subtracted from an engine that has an idle connection, where there
  /// are many engines. Less than one item of an engine with eight slots.
  double idle_connection_bonus = 0.1;
  /// Excess of the event interval that is assumed for an engine of many that
  /// was not measured yet. Otherwise such engines would be preferred to nearly
  /// all that were, and each would need a new connection.
  double assumed_excess = 0.25;
};

/// Chooses the engine that runs an item. Designed for the case that all
/// instances place items at the same time and some engines are several times
/// slower than others. An engine is filled up to its slots and its memory and
/// no further, so that the remaining items can still be placed elsewhere.
/// Longer items prefer faster engines, since the longest item decides when a
/// step ends. A slow engine gets no item while an engine of normal speed may
/// run it, except for an occasional single item that measures whether the
/// engine is still slow. An engine in slow start gets items up to its limits,
/// or up to its slots if all engines that may run the item are in slow start.
/// Has no state; thread-safe.
class EnginePlacement final {
 public:
  explicit EnginePlacement(const EnginePlacementSettings& settings)
      : settings_(settings) {}

  /// Returns the index of the chosen engine; nothing if no eligible engine has
  /// room.
  std::optional<std::size_t> Choose(
      const EngineRequirements& need,
      const std::vector<EngineView>& engines) const;

  /// Returns whether an item on `engines[at]` should be moved because that
  /// engine is slow and an engine of normal speed has room.
  bool IsWorthMoving(std::size_t at, const EngineRequirements& need,
                     const std::vector<EngineView>& engines) const;

 private:
  /// Chooses with the limits of slow starts or without them.
  std::optional<std::size_t> ChooseWithin(
      const EngineRequirements& need, const std::vector<EngineView>& engines,
      bool has_slow_start) const;
  bool HasRoom(const EngineRequirements& need, const EngineView& engine) const;
  bool IsSlow(const EngineView& engine, Duration fastest) const;
  /// Returns by how much an engine's event interval is longer than that of the
  /// fastest, as a fraction.
  double ExcessOf(const EngineView& engine, Duration fastest) const;
  double CostOf(const EngineRequirements& need, const EngineView& engine,
                Duration fastest) const;

  const EnginePlacementSettings settings_;
};

/// Returns whether an engine may run the item, regardless of its load.
/// Thread-safe.
bool IsEligible(const EngineRequirements& need, const EngineView& engine);

/// Returns the estimated number of requests at an engine: the larger of the
/// requests that the instances count, and the engine's last load report
/// corrected by the change of own requests since then. Thread-safe.
std::uint32_t EstimatedLoad(const EngineView& engine);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ENGINE_PLACEMENT_H_
