#include "briarspread/admission/concurrency_limiter.h"

#include <algorithm>
#include <cassert>

namespace briarspread {

ConcurrencyLimiter::ConcurrencyLimiter(
    const ConcurrencyLimiterSettings& settings)
    : settings_(settings),
      limit_(static_cast<std::uint32_t>(settings.initial_limit)),
      exact_limit_(settings.initial_limit) {
  assert(settings.min_limit >= 1 &&
         settings.min_limit <= settings.initial_limit);
  assert(settings.initial_limit <= settings.max_limit);
}

bool ConcurrencyLimiter::TryAcquire() {
  std::uint32_t taken = in_flight_.load();
  while (taken < limit_.load()) {
    if (in_flight_.compare_exchange_weak(taken, taken + 1)) return true;
  }
  return false;
}

void ConcurrencyLimiter::Release(LimiterOutcome outcome, Duration latency) {
  std::lock_guard lock(mutex_);
  window_peak_ = std::max(window_peak_, in_flight_.fetch_sub(1));
  if (outcome == LimiterOutcome::kIgnored) return;
  if (outcome == LimiterOutcome::kOverloaded) {
    // The report of overload is unambiguous, so the limit is lowered without
    // waiting for the end of the window.
    exact_limit_ =
        std::max(exact_limit_ * settings_.decrease_factor, settings_.min_limit);
    limit_ = static_cast<std::uint32_t>(exact_limit_);
    return;
  }
  min_latency_ =
      min_latency_ == Duration{} ? latency : std::min(min_latency_, latency);
  window_sum_ += latency;
  if (++window_count_ >= settings_.requests_per_window) EndWindow();
}

void ConcurrencyLimiter::EndWindow() {
  if (phase_ == Phase::kAdapt) {
    Adapt();
  } else {
    Remeasure();
  }
  exact_limit_ =
      std::clamp(exact_limit_, settings_.min_limit, settings_.max_limit);
  limit_ = static_cast<std::uint32_t>(exact_limit_);
  window_sum_ = {};
  window_count_ = 0;
  window_peak_ = 0;
}

void ConcurrencyLimiter::Adapt() {
  const Duration mean = window_sum_ / window_count_;
  const bool is_queueing =
      static_cast<double>(mean.count()) >
      settings_.tolerance * static_cast<double>(min_latency_.count());
  if (is_queueing) {
    exact_limit_ *= settings_.decrease_factor;
  } else if (2 * window_peak_ >= limit_.load()) {
    // The limit is raised only if at least half of it was used, because an
    // unused limit does not show whether a higher limit would cause queueing.
    exact_limit_ += 1;
  }
  if (++windows_since_measurement_ < settings_.windows_per_measurement) return;
  // The minimum latency can only be measured while no requests queue. The limit
  // converges to the point where the latency is `tolerance` times the minimum,
  // so dividing the limit by `tolerance` ends the queueing.
  windows_since_measurement_ = 0;
  limit_before_measurement_ = exact_limit_;
  exact_limit_ /= settings_.tolerance;
  phase_ = Phase::kDrain;
}

void ConcurrencyLimiter::Remeasure() {
  if (phase_ == Phase::kDrain) {
    min_latency_ = {};
    phase_ = Phase::kMeasure;
    return;
  }
  exact_limit_ = limit_before_measurement_;
  phase_ = Phase::kAdapt;
}

}  // namespace briarspread
