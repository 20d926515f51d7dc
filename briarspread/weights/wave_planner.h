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
  /// Its name.
  UpstreamId id;
  /// Where it listens.
  Endpoint endpoint;
  /// Where it stands.
  Locality locality;
  /// Whether it refuses orders with an old fencing number.
  bool checks_fencing = false;
};

/// Settings of `WavePlanner`.
struct WavePlannerSettings {
  /// The part of a zone's replicas that must keep serving, from 0 to 1. One
  /// replica of a zone may always swap, or a zone of one would never get new
  /// weights; the last serving one only while others of its region serve, or
  /// of another region where it is alone in its own.
  double live_floor = 0.5;
  /// Replicas that one replica sends weights to at once.
  std::uint32_t fan_out = 4;
};

/// What the planner knows of a replica.
enum class SwapState {
  /// Nothing, or its last order is in doubt: out of rotation, not to be
  /// ordered.
  kOut,
  /// Serves another version.
  kPending,
  /// Out of rotation after a failed swap, and due to be tried again.
  kRetry,
  /// Ordered to swap.
  kLoading,
  /// Serves the version, and can send it to others.
  kLoaded,
};

/// A replica to be ordered, and where it gets the weights from.
struct SwapAssignment {
  /// The replica.
  UpstreamId id;
  /// A replica of its region that has them; nothing for the weight store.
  std::optional<UpstreamId> source;
};

/// Chooses which replicas swap next: each region pulls from the weight store
/// once and spreads from replica to replica, and each zone keeps its floor.
/// A call costs time by zones and assignments, not by replicas. Not
/// thread-safe.
class WavePlanner {
 public:
  explicit WavePlanner(const WavePlannerSettings& settings);

  /// Sets the replicas. Known ones keep their state, new ones are `kOut`.
  void SetReplicas(const std::vector<Replica>& replicas);
  /// Changes a replica's state. Unknown replicas are ignored.
  void SetState(const UpstreamId& id, SwapState state);
  /// All replicas that may be ordered now; they become `kLoading`.
  std::vector<SwapAssignment> Next();

  /// The state of `id`; `kOut` where it is unknown.
  SwapState State(const UpstreamId& id) const;
  /// The replica called `id`, or null.
  const Replica* Find(const UpstreamId& id) const;
  /// Replicas of `zone` that serve now, and that must serve at least.
  std::size_t Serving(const ZoneId& zone) const;
  std::size_t Floor(const ZoneId& zone) const;
  /// Regions that have replicas.
  std::size_t regions() const { return regions_.size(); }
  /// Replicas, and those of them that are `kLoaded`.
  std::size_t size() const { return slots_.size(); }
  std::size_t loaded() const { return loaded_; }

 private:
  /// One replica.
  struct Slot {
    Replica replica;
    SwapState state = SwapState::kOut;
    /// What it loads from, while it does.
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
    /// Replicas that can send, by the loads they serve now.
    std::set<std::pair<std::uint32_t, UpstreamId>> sources;
    /// The replica that pulls from the weight store.
    std::optional<UpstreamId> puller;
  };

  void Enter(const UpstreamId& id, Slot& slot, SwapState state);
  void Exit(const UpstreamId& id, Slot& slot);
  void ReleaseSource(Region& region, const UpstreamId& source);
  std::size_t FloorOf(const Zone& zone) const;
  /// Whether a serving replica of `zone` may be taken out of rotation.
  bool MayTake(const Zone& zone, const Region& region) const;
  /// Assigns `id` if the region can supply it.
  bool Assign(const UpstreamId& id, Region& region,
              std::vector<SwapAssignment>& out);

  const WavePlannerSettings settings_;
  std::map<UpstreamId, Slot> slots_;
  std::map<ZoneId, Zone> zones_;
  std::map<RegionId, Region> regions_;
  /// Loads that each source serves.
  std::map<UpstreamId, std::uint32_t> serves_;
  std::size_t loaded_ = 0;
  /// Replicas that serve now.
  std::size_t serving_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_WAVE_PLANNER_H_
