#include "briarspread/contracts/hedge_policy.h"

#include <cmath>

namespace briarspread {

HedgePolicy::HedgePolicy(HedgeSettings settings)
    : settings_(settings),
      budget_(settings.cost_fraction, settings.cost_burst),
      latency_(boost::accumulators::quantile_probability = settings.quantile) {}

void HedgePolicy::OnRequest(TokenCount cost) {
  budget_.OnRequest(static_cast<double>(cost.value()));
}

void HedgePolicy::OnResponse(milliseconds latency) {
  std::lock_guard lock(mutex_);
  latency_(static_cast<double>(latency.count()));
}

std::optional<milliseconds> HedgePolicy::HedgeDelay() const {
  std::lock_guard lock(mutex_);
  if (boost::accumulators::count(latency_) < settings_.min_samples) {
    return std::nullopt;
  }
  const double quantile = boost::accumulators::p_square_quantile(latency_);
  return milliseconds(static_cast<std::int64_t>(std::ceil(quantile)));
}

bool HedgePolicy::TryHedge(bool idempotent, TokenCount cost, TimePoint now,
                           TimePoint deadline) {
  if (!idempotent || now >= deadline) return false;
  return budget_.TryTake(static_cast<double>(cost.value()));
}

}  // namespace briarspread
