#include "briarspread/rollout/lead_policy.h"

#include <cassert>

namespace briarspread {

LeadPolicy::LeadPolicy(const LeadSettings& settings) : settings_(settings) {
  assert(settings.staleness_weight >= 0 && settings.staleness_weight <= 1);
}

bool LeadPolicy::ShouldStart(Duration until_need, Duration work,
                             std::optional<double> staleness_weight) const {
  const double weight = staleness_weight.value_or(settings_.staleness_weight);
  // The lead time is the duration of the work times the safety factor, divided
  // by the weight. It is unlimited for weight 0. The division is avoided by
  // multiplying the other side by the weight.
  const auto lead = static_cast<double>(work.count()) * settings_.safety_factor;
  return static_cast<double>(until_need.count()) * weight <= lead;
}

}  // namespace briarspread
