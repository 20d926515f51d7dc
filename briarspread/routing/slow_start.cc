#include "briarspread/routing/slow_start.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "briarspread/core/rendezvous.h"
#include "briarspread/routing/rollout_quota.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread {

InstanceShare RendezvousShare(std::string_view upstream,
                              std::span<const std::string> names,
                              std::size_t self) {
  assert(self < names.size());
  const auto order = RendezvousOrder(upstream, names);
  const auto rank = std::find(order.begin(), order.end(), self) - order.begin();
  return InstanceShare{static_cast<std::uint32_t>(rank),
                       static_cast<std::uint32_t>(names.size())};
}

SlowStart::SlowStart(const SlowStartSettings& settings, std::uint32_t slots,
                     double initial_limit, TimePoint now)
    : settings_(settings),
      began_(now),
      slots_(slots),
      limit_(std::max(1.0, initial_limit > 0 ? initial_limit
                                             : double{1.0} * slots /
                                                   settings.initial_divisor)),
      last_response_(now) {
  assert(slots > 0);
  if (initial_limit > 0) last_decrease_ = now;
}

double SlowStart::LimitAt(TimePoint now) const {
  const double quiet =
      SecondsOf(std::max<Duration>(now - last_response_, Duration::zero()));
  const double doublings = quiet / SecondsOf(settings_.quiet_doubling);
  // Bounds the result to what fits into an integer.
  constexpr double kMaxDoublings = 20;
  return limit_ * std::exp2(std::min(doublings, kMaxDoublings));
}

std::uint32_t SlowStart::AllowanceAt(TimePoint now,
                                     const InstanceShare& share) const {
  const double limit = LimitAt(now);
  const std::uint32_t quota =
      RolloutQuota(static_cast<std::uint32_t>(limit), 0.0, share, 0);
  if (reported_ == 0) return quota;
  const double part = std::min(1.0, static_cast<double>(own_at_report_) /
                                        static_cast<double>(reported_));
  return std::max(quota, static_cast<std::uint32_t>(limit * part));
}

void SlowStart::OnReport(const LoadReport& report) {
  if (report.slots > 0) slots_ = report.slots;
  const bool is_growing = has_report_ && report.queued > queued_;
  reported_ = report.running + report.queued;
  own_at_report_ = report.own_in_flight;
  queued_ = report.queued;
  has_report_ = true;
  if (is_growing) Decrease(settings_.queueing_factor, report.received);
}

void SlowStart::OnGoodResponse(std::uint32_t instances, TimePoint now) {
  last_response_ = now;
  if (queued_ > 0) return;
  // Without a report, the other instances are assumed to behave alike.
  double requests_per_own = instances;
  if (has_report_) {
    requests_per_own = std::clamp(
        static_cast<double>(reported_) / std::max(1U, own_at_report_), 1.0,
        static_cast<double>(instances));
    // None of the reported requests waits, so the upstream can run as many.
    if (!IsHeld(now)) limit_ = std::max(limit_, double{1.0} * reported_);
  }
  limit_ = std::min(limit_ + requests_per_own, double{1.0} * slots_);
}

void SlowStart::OnRefusal(TimePoint now) {
  last_response_ = now;
  Decrease(settings_.refusal_factor, now);
}

void SlowStart::OnEventInterval(Duration interval, TimePoint now) {
  if (min_interval_.count() == 0 || interval < min_interval_) {
    min_interval_ = interval;
  }
  if (static_cast<double>(interval.count()) <=
      settings_.interval_ratio * static_cast<double>(min_interval_.count())) {
    return;
  }
  // A further decrease needs a further rise.
  min_interval_ = interval;
  Decrease(settings_.queueing_factor, now);
}

void SlowStart::Decrease(double factor, TimePoint now) {
  if (now - last_decrease_ < settings_.decrease_interval) return;
  last_decrease_ = now;
  limit_ = std::max(1.0, limit_ * factor);
}

bool SlowStart::HasEnded(TimePoint now) const {
  if (now - began_ >= settings_.max_duration) return true;
  return limit_ >= slots_ && !IsHeld(now);
}

}  // namespace briarspread
