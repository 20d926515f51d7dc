#ifndef BRIARSPREAD_BATCH_ENGINE_PLACEMENT_H_
#define BRIARSPREAD_BATCH_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::batch {

/// An engine as placement sees it.
struct EngineView {
  UpstreamId id;
  std::uint32_t slots = 1;
  /// Items of this instance that run or wait there.
  std::uint32_t own_in_flight = 0;
  /// Items of other instances there, as they last told.
  std::uint32_t peer_in_flight = 0;
  /// Requests of all instances there, as last reported; zero where unknown or
  /// too old.
  std::uint32_t reported = 0;
  /// Own items there at the time of that report.
  std::uint32_t own_at_report = 0;
  /// Tokens that its memory has room for, beside those of own items there; a
  /// guess. Nothing where it is not known.
  std::optional<std::int64_t> free_tokens;
  /// The version of the item's model that it has.
  WeightVersion version;
  /// Whether it takes requests now: not leaving, not refusing, not failing.
  bool is_open = true;
  bool is_same_region = true;
  /// Time between two events of its streams, as last measured; zero where
  /// unknown.
  Duration event_interval{0};
  /// Whether that was measured lately.
  bool is_interval_fresh = false;
};

/// What an item needs.
struct EngineNeed {
  WeightVersion oldest_allowed;
  /// Where it must not go: it was slow or broke there.
  std::vector<UpstreamId> avoid;
  /// Where others of its group run, whose prompt is cached; empty for none.
  UpstreamId preferred;
  /// Tokens of memory that it will take; a guess.
  std::int64_t tokens = 0;
  /// Its length against the mean of its job; a guess.
  double relative_length = 1;
};

/// Settings of placement, in units of load: 1 is an engine's whole batch.
struct EnginePlacementSettings {
  /// An engine in another region counts as so much fuller.
  double other_region = 0.1;
  /// An engine that has the prompt cached counts as so much emptier.
  double cached_prompt = 0.1;
  /// An engine that is slower than the fastest by so many times its speed
  /// counts as so much fuller for an item of mean length, and more for a longer
  /// one.
  double slowness = 0.5;
  /// Beyond this length an item counts no more.
  double longest = 2.5;
  /// An engine that is this many times slower than the fastest counts as slow.
  double slow_ratio = 2.0;
};

/// Decides which engine runs an item. Answers the load in which every instance
/// fills the same engines at once while some of them are several times slower
/// than others: an engine is filled to its batch and its memory and no further,
/// so that the rest waits where it can still go elsewhere;
/// the longer an item, the faster its engine, since the longest decides when a
/// step ends; a slow engine gets
/// no item while a sound one could take it soon, but for one now and then that
/// shows whether it is still slow. Holds no state; thread-safe.
class EnginePlacement final {
 public:
  explicit EnginePlacement(const EnginePlacementSettings& settings)
      : settings_(settings) {}

  /// The index of the engine; nothing where none has room.
  std::optional<std::size_t> Choose(
      const EngineNeed& need, const std::vector<EngineView>& engines) const;

  /// Whether an item on `engines[at]` is to be moved because the engine is slow
  /// while a sound one has room.
  bool IsWorthMoving(std::size_t at, const EngineNeed& need,
                     const std::vector<EngineView>& engines) const;

 private:
  bool HasRoom(const EngineNeed& need, const EngineView& engine) const;
  bool IsSlow(const EngineView& engine, Duration fastest) const;
  double CostOf(const EngineNeed& need, const EngineView& engine,
                Duration fastest) const;

  const EnginePlacementSettings settings_;
};

/// Whether an engine may run the item, room aside. Thread-safe.
bool IsEligible(const EngineNeed& need, const EngineView& engine);

/// Requests at an engine as best known: what the instances tell, or its last
/// report corrected by the own change since, whichever is more. Thread-safe.
std::uint32_t EstimatedLoad(const EngineView& engine);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ENGINE_PLACEMENT_H_
