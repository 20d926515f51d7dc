#include "briarspread/rollout/lead_policy.h"

#include <cassert>

namespace briarspread {

LeadPolicy::LeadPolicy(const LeadSettings& settings) : settings_(settings) {
  assert(settings.staleness_weight >= 0 && settings.staleness_weight <= 1);
}

bool LeadPolicy::StartsNow(Duration until_need, Duration work,
                           std::optional<double> staleness_weight) const {
  const double weight = staleness_weight.value_or(settings_.staleness_weight);
  // The lead is the work time with its safety factor, divided by the weight:
  // without limit at 0, just that time at 1.
  const auto lead = static_cast<double>(work.count()) * settings_.safety;
  return static_cast<double>(until_need.count()) * weight <= lead;
}

}  // namespace briarspread
