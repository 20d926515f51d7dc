#ifndef BRIARSPREAD_ROLLOUT_TRAINER_PACE_H_
#define BRIARSPREAD_ROLLOUT_TRAINER_PACE_H_

#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/rollout/duration_window.h"

namespace briarspread {

/// Learns from a trainer's pulls when it needs its next steps, and how often
/// its weights change. Not thread-safe.
class TrainerPace {
 public:
  /// The trainer pulled from `step`. `is_whole` says that nothing of the step
  /// is left once the reply arrives.
  void OnPull(StepNumber step, bool is_whole, TimePoint now);
  /// The trainer told its newest version.
  void OnVersion(WeightVersion version, TimePoint now);

  /// The newest version told.
  WeightVersion newest() const { return newest_; }
  /// Expected time between versions; zero where not known. It grows while no
  /// version comes, so that work held back for the next one does start when
  /// versions have stopped.
  Duration VersionInterval(TimePoint now) const;
  /// The step that the trainer last pulled from; empty before the first pull.
  std::optional<StepNumber> open_step() const { return open_step_; }
  /// When the trainer is expected to pull from `step`, at the earliest `now`.
  /// `open_left` is the expected time until the open step is whole.
  TimePoint NeedTime(StepNumber step, TimePoint now, Duration open_left) const;

 private:
  std::optional<StepNumber> open_step_;
  /// When the open step became whole; empty before.
  std::optional<TimePoint> whole_since_;
  /// Times from a whole step to the first pull from the next.
  DurationWindow compute_times_;
  WeightVersion newest_{0};
  std::optional<TimePoint> version_since_;
  DurationWindow version_intervals_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_PACE_H_
