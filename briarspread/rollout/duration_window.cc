#include "briarspread/rollout/duration_window.h"

#include <algorithm>
#include <cassert>

namespace briarspread {

void DurationWindow::Add(Duration duration) {
  sum_ += duration - durations_[next_];
  durations_[next_] = duration;
  next_ = (next_ + 1) % kSize;
  count_ = std::min(count_ + 1, kSize);
}

Duration DurationWindow::Mean() const {
  if (count_ == 0) return Duration::zero();
  return sum_ / static_cast<Duration::rep>(count_);
}

Duration DurationWindow::Quantile(double share) const {
  assert(share >= 0 && share <= 1);
  if (count_ == 0) return Duration::zero();
  std::array<Duration, kSize> sorted = durations_;
  const auto nth =
      static_cast<std::size_t>(share * static_cast<double>(count_ - 1));
  auto* const end = sorted.data() + count_;
  std::nth_element(sorted.data(), sorted.data() + nth, end);
  return sorted[nth];
}

}  // namespace briarspread
