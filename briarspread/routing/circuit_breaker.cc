#include "briarspread/routing/circuit_breaker.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace briarspread {

bool EjectionQuota::TryTake() {
  std::uint32_t taken = taken_.load();
  while (taken < limit_.load()) {
    if (taken_.compare_exchange_weak(taken, taken + 1)) return true;
  }
  return false;
}

void EjectionQuota::Return() {
  assert(taken_.load() > 0);
  --taken_;
}

CircuitBreaker::CircuitBreaker(const CircuitBreakerSettings& settings,
                               std::shared_ptr<EjectionQuota> quota)
    : settings_(settings),
      quota_(std::move(quota)),
      next_open_time_(settings.initial_open_time) {
  assert(quota_ != nullptr);
}

CircuitBreaker::~CircuitBreaker() {
  if (is_open_.load()) quota_->Return();
}

bool CircuitBreaker::Allows(TimePoint now) const {
  if (!is_open_.load()) return true;
  return now >= open_until_.load() && now >= probe_until_.load();
}

bool CircuitBreaker::Admit(TimePoint now) {
  if (!is_open_.load()) return true;
  std::lock_guard lock(mutex_);
  if (!is_open_.load()) return true;
  if (!Allows(now)) return false;
  probe_until_ = now + settings_.probe_timeout;
  return true;
}

void CircuitBreaker::OnSuccess(TimePoint now) {
  failures_ = 0;
  if (!is_open_.load()) return;
  std::lock_guard lock(mutex_);
  // A success before the end of the open time is that of a request sent before
  // the breaker opened, and does not show the current state of the upstream.
  if (is_open_.load() && now >= open_until_.load()) Close();
}

void CircuitBreaker::OnFailure(TimePoint now) {
  if (++failures_ < settings_.failures_to_open && !is_open_.load()) return;
  std::lock_guard lock(mutex_);
  if (is_open_.load()) {
    if (now >= open_until_.load()) Open(now);
    return;
  }
  // If the quota is used up, the upstream stays in use: a failing upstream is
  // better than none.
  if (failures_.load() >= settings_.failures_to_open && quota_->TryTake()) {
    Open(now);
  }
}

void CircuitBreaker::Close() {
  next_open_time_ = settings_.initial_open_time;
  failures_ = 0;
  probe_until_ = TimePoint{};
  is_open_ = false;
  quota_->Return();
}

void CircuitBreaker::Open(TimePoint now) {
  open_until_ = now + next_open_time_;
  probe_until_ = TimePoint{};
  next_open_time_ = std::min(2 * next_open_time_, settings_.max_open_time);
  is_open_ = true;
}

}  // namespace briarspread
