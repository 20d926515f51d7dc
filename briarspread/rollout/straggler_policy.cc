#include "briarspread/rollout/straggler_policy.h"

namespace briarspread {

Duration StragglerPolicy::StragglerThreshold(
    const DurationWindow& durations) const {
  if (!settings_.is_enabled || durations.count() < settings_.min_history) {
    return Duration::zero();
  }
  const Duration usual = durations.Quantile(settings_.usual_quantile);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(usual.count()) * settings_.slow_factor));
}

bool StragglerPolicy::IsWithinCap(std::uint64_t spent, std::uint64_t tokens,
                                  std::uint64_t all_tokens) const {
  return static_cast<double>(spent + tokens) <=
         settings_.cost_cap * static_cast<double>(all_tokens);
}

}  // namespace briarspread
