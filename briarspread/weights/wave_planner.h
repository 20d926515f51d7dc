#ifndef BRIARSPREAD_WEIGHTS_WAVE_PLANNER_H_
#define BRIARSPREAD_WEIGHTS_WAVE_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// One replica of a model.
struct Replica {
  UpstreamId id;
  /// Address that the replica listens on.
  Endpoint endpoint;
  /// Region and availability zone of the replica.
  Locality locality;
  /// Whether the replica refuses orders with an outdated fencing number.
  bool checks_fencing = false;
};

/// Settings of `WavePlanner`.
struct WavePlannerSettings {
  /// Share of a zone's replicas that must keep serving, from 0 to 1. It is
  /// never taken as more than all replicas but one, or a zone with one replica
  /// would never get new weights. The last serving replica of a zone may swap
  /// only while other replicas of its region serve or, if it is the only
  /// replica of its region, while replicas of other regions serve. The only
  /// replica of a model may always swap.
  double live_floor = 0.5;
  /// Maximum number of replicas that one replica sends weights to at once.
  std::uint32_t fan_out = 4;
};

/// State of a replica with respect to the version being rolled out.
enum class SwapState {
  /// Out of rotation and not to be ordered: its loaded version is unknown, or
  /// its last swap failed and is not due to be retried yet.
  kOut,
  /// Serves another version.
  kPending,
  /// Out of rotation after a failed swap, which is due to be retried.
  kRetry,
  /// Assigned to swap, with its order still to be sent or in flight.
  kLoading,
  /// Serves the version and can send it to other replicas.
  kLoaded,
};

/// A replica to be ordered to swap, and the source of its weights.
struct SwapAssignment {
  /// The replica.
  UpstreamId id;
  /// A replica of the same region that has the weights; nothing for the weight
  /// store.
  std::optional<UpstreamId> source;
};

/// Chooses which replicas swap next. In each region, one replica pulls the
/// weights from the weight store and the others load them from replicas that
/// have them; each zone keeps its floor of serving replicas. The time of a call
/// of `NextAssignments` depends on the number of zones and assignments, not of
/// replicas. Not thread-safe.
class WavePlanner {
 public:
  explicit WavePlanner(const WavePlannerSettings& settings);

  /// Sets the replicas. Replicas that were set before keep their state; others
  /// start as `kOut`.
  void SetReplicas(const std::vector<Replica>& replicas);
  /// Changes a replica's state. Does nothing if the replica is unknown.
  void SetState(const UpstreamId& id, SwapState state);
  /// Returns all replicas that may be ordered now and sets them to `kLoading`.
  std::vector<SwapAssignment> NextAssignments();

  /// Returns the state of `id`; `kOut` if the replica is unknown.
  SwapState State(const UpstreamId& id) const;
  /// Returns the replica `id`, or null if it is unknown.
  const Replica* Find(const UpstreamId& id) const;
  /// The number of replicas of `zone` that serve now (`Serving`) and the
  /// number that must keep serving (`Floor`).
  std::size_t Serving(const ZoneId& zone) const;
  std::size_t Floor(const ZoneId& zone) const;
  /// The number of regions that have had replicas.
  std::size_t regions() const { return regions_.size(); }
  /// The number of replicas, and of those in state `kLoaded`.
  std::size_t size() const { return slots_.size(); }
  std::size_t loaded() const { return loaded_; }

 private:
  /// One replica and its state.
  struct Slot {
    Replica replica;
    SwapState state = SwapState::kOut;
    /// The replica that it loads from while in state `kLoading`; nothing for
    /// the weight store.
    std::optional<UpstreamId> source;
  };
  /// One availability zone.
  struct Zone {
    RegionId region;
    std::size_t total = 0;
    std::size_t serving = 0;
    std::set<UpstreamId> pending;
    std::set<UpstreamId> retry;
  };
  /// One region.
  struct Region {
    std::size_t total = 0;
    std::size_t serving = 0;
    /// Replicas in state `kLoaded`, ordered by the number of loads that each is
    /// the source of.
    std::set<std::pair<std::uint32_t, UpstreamId>> sources;
    /// The replica that is pulling from the weight store.
    std::optional<UpstreamId> puller;
  };

  /// Sets the state of a replica in state `kOut` and updates the counts.
  void EnterState(const UpstreamId& id, Slot& slot, SwapState state);
  /// Sets the state of a replica to `kOut` and updates the counts.
  void ExitState(const UpstreamId& id, Slot& slot);
  void ReleaseSource(Region& region, const UpstreamId& source);
  std::size_t FloorOf(const Zone& zone) const;
  /// Whether a serving replica of `zone` may be taken out of rotation.
  bool CanTakeOut(const Zone& zone, const Region& region) const;
  /// Assigns a source to `id`, appends the assignment to `out` and returns
  /// true; returns false if the region has no source available.
  bool Assign(const UpstreamId& id, Region& region,
              std::vector<SwapAssignment>& out);

  const WavePlannerSettings settings_;
  std::map<UpstreamId, Slot> slots_;
  std::map<ZoneId, Zone> zones_;
  std::map<RegionId, Region> regions_;
  /// The number of loads that each replica is the source of.
  std::map<UpstreamId, std::uint32_t> active_loads_;
  std::size_t loaded_ = 0;
  /// The number of replicas that serve.
  std::size_t serving_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_WAVE_PLANNER_H_
