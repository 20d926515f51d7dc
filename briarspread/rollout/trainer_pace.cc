#include "briarspread/rollout/trainer_pace.h"

#include <algorithm>

namespace briarspread {

void TrainerPace::OnPull(StepNumber step, bool is_whole, TimePoint now) {
  const bool opens = !open_step_.has_value() || *open_step_ < step;
  if (opens) {
    if (whole_since_.has_value()) compute_times_.Add(now - *whole_since_);
    open_step_ = step;
    whole_since_.reset();
  }
  if (*open_step_ != step) return;
  // A reply that was lost is asked for again, so the latest one counts.
  if (is_whole) whole_since_ = now;
}

void TrainerPace::OnVersion(WeightVersion version, TimePoint now) {
  if (version <= newest_) return;
  if (version_since_.has_value()) {
    const auto versions = version.value() - newest_.value();
    version_intervals_.Add((now - *version_since_) /
                           static_cast<Duration::rep>(versions));
  }
  newest_ = version;
  version_since_ = now;
}

Duration TrainerPace::VersionInterval(TimePoint now) const {
  const Duration mean = version_intervals_.Mean();
  if (mean == Duration::zero()) return mean;
  return std::max(mean, now - *version_since_);
}

TimePoint TrainerPace::NeedTime(StepNumber step, TimePoint now,
                                Duration open_left) const {
  if (!open_step_.has_value() || step <= *open_step_) return now;
  const auto ahead =
      static_cast<Duration::rep>(step.value() - open_step_->value());
  const TimePoint whole = whole_since_.value_or(now + open_left);
  return std::max(now, whole + compute_times_.Mean() * ahead);
}

}  // namespace briarspread
