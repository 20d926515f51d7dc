#ifndef BRIARSPREAD_BATCH_PLACEMENT_PAUSES_H_
#define BRIARSPREAD_BATCH_PLACEMENT_PAUSES_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// Settings of `PlacementPauses`.
struct PlacementPausesSettings {
  /// Number of runs without an event after which an item is placed again at
  /// once, on another engine.
  std::uint32_t free_runs = 2;
  /// Pause after the next such run; doubled by each further one.
  milliseconds initial_pause{25};
  milliseconds max_pause{200};
};

/// Keeps items from being placed again in a loop while their runs break before
/// the first event. An item is never given up for that: its pause ends. Not
/// thread-safe.
class PlacementPauses final {
 public:
  explicit PlacementPauses(const PlacementPausesSettings& settings)
      : settings_(settings) {}

  /// Records that a run of an item broke at `now` before its first event.
  void RecordEmptyRun(std::size_t item, TimePoint now);
  /// Records that a run of an item ended in any other way.
  void RecordOtherRun(std::size_t item) { pauses_.erase(item); }
  /// Whether the item must not be placed at `now`.
  bool IsPausing(std::size_t item, TimePoint now) const;

 private:
  struct Pause {
    std::uint32_t runs = 0;
    milliseconds next{0};
    TimePoint until{};
  };

  PlacementPausesSettings settings_;
  std::map<std::size_t, Pause> pauses_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_PLACEMENT_PAUSES_H_
