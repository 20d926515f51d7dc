#ifndef BRIARSPREAD_ROLLOUT_TRAINER_PACE_H_
#define BRIARSPREAD_ROLLOUT_TRAINER_PACE_H_

#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/rollout/duration_window.h"

namespace briarspread {

/// Estimates from a trainer's pulls when it will need its next steps, and from
/// its versions how often they change. Not thread-safe.
class TrainerPace {
 public:
  /// Records that the trainer pulled from `step`. `is_whole` is true if the
  /// trainer has the whole step once the reply arrives.
  void OnPull(StepNumber step, bool is_whole, TimePoint now);
  /// Records that `version` is known to exist, reported by the trainer or by an
  /// engine. Older versions are ignored.
  void OnVersion(WeightVersion version, TimePoint now);

  /// The newest known version.
  WeightVersion newest() const { return newest_; }
  /// Returns the number of new versions expected within `time` from `now`. A
  /// version that is overdue is expected after as much time as it is overdue,
  /// so that work that waits for it is started if no versions appear any more.
  std::uint64_t ExpectedVersions(Duration time, TimePoint now) const;
  /// The latest step that the trainer has pulled from; nothing before the first
  /// pull.
  std::optional<StepNumber> open_step() const { return open_step_; }
  /// Returns the time at which the trainer is expected to pull from `step`, at
  /// the earliest `now`. `open_left` is the expected time until the open step
  /// is complete.
  TimePoint NeedTime(StepNumber step, TimePoint now, Duration open_left) const;

 private:
  std::optional<StepNumber> open_step_;
  /// When the trainer last pulled the rest of the open step; nothing before.
  std::optional<TimePoint> whole_since_;
  /// Times from the pull that completed a step to the first pull from the next
  /// step, during which the trainer computes.
  DurationWindow compute_times_;
  WeightVersion newest_{0};
  std::optional<TimePoint> version_since_;
  DurationWindow version_intervals_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_PACE_H_
