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
  // After a lost reply the trainer pulls again, so the latest pull counts.
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

std::uint64_t TrainerPace::ExpectedVersions(Duration time,
                                            TimePoint now) const {
  const Duration interval = version_intervals_.Mean();
  if (interval == Duration::zero()) return 0;
  const Duration since = now - *version_since_;
  const Duration next = since < interval ? interval - since : since - interval;
  if (time <= next) return 0;
  return 1 + static_cast<std::uint64_t>((time - next) / interval);
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
