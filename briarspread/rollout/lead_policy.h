#ifndef BRIARSPREAD_ROLLOUT_LEAD_POLICY_H_
#define BRIARSPREAD_ROLLOUT_LEAD_POLICY_H_

#include <optional>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of `LeadPolicy`.
struct LeadSettings {
  /// Weight of staleness against idle time of trainers, in [0, 1]. With 0, work
  /// starts as soon as it is submitted, which avoids idle trainers only. With
  /// 1, work starts as late as the estimates allow, which avoids stale samples
  /// only.
  double staleness_weight = 0.5;
  /// Safety factor on the estimated duration of the work.
  double safety_factor = 1.0;
};

/// Decides how long before a trainer needs a step the work on the step starts.
/// Thread-safe.
class LeadPolicy {
 public:
  /// Precondition: `settings.staleness_weight` is in [0, 1].
  explicit LeadPolicy(const LeadSettings& settings);

  /// Returns whether work that is expected to take `work` and whose result is
  /// needed after `until_need` should start now. `staleness_weight`, in [0, 1],
  /// overrides the settings if given.
  bool ShouldStart(Duration until_need, Duration work,
                   std::optional<double> staleness_weight = std::nullopt) const;

 private:
  const LeadSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_LEAD_POLICY_H_
