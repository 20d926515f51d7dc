#include "briarspread/batch/placement_pauses.h"

#include <algorithm>

namespace briarspread::batch {

void PlacementPauses::RecordEmptyRun(std::size_t item, TimePoint now) {
  Pause& pause = pauses_[item];
  if (++pause.runs <= settings_.free_runs) return;
  const milliseconds length = std::max(pause.next, settings_.initial_pause);
  pause.until = now + length;
  pause.next = std::min(2 * length, settings_.max_pause);
}

bool PlacementPauses::IsPausing(std::size_t item, TimePoint now) const {
  const auto it = pauses_.find(item);
  return it != pauses_.end() && now < it->second.until;
}

}  // namespace briarspread::batch
