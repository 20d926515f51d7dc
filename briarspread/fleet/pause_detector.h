#ifndef BRIARSPREAD_FLEET_PAUSE_DETECTOR_H_
#define BRIARSPREAD_FLEET_PAUSE_DETECTOR_H_

#include "briarspread/core/clock.h"

namespace briarspread {

/// Detects that the process did not run for a while, because it was stopped or
/// its machine was suspended, from the gap between periodic calls. Not
/// thread-safe.
class PauseDetector final {
 public:
  /// Precondition: `clock` outlives this object.
  PauseDetector(Duration min_pause, const Clock& clock)
      : min_pause_(min_pause),
        clock_(clock),
        last_(clock.NowWithSuspension()) {}

  /// Must be called at intervals well below `min_pause`. Returns whether at
  /// least `min_pause` has passed since the last call.
  bool CheckPaused() {
    const TimePoint now = clock_.NowWithSuspension();
    const bool was_paused = now - last_ >= min_pause_;
    last_ = now;
    return was_paused;
  }

 private:
  const Duration min_pause_;
  const Clock& clock_;
  TimePoint last_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_PAUSE_DETECTOR_H_
