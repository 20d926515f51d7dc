#ifndef BRIARSPREAD_ROLLOUT_LEAD_POLICY_H_
#define BRIARSPREAD_ROLLOUT_LEAD_POLICY_H_

#include <optional>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of `LeadPolicy`.
struct LeadSettings {
  /// The objective, in [0, 1]: 0 avoids idle trainers only and starts work as
  /// soon as it is known, 1 avoids stale samples only and starts work at the
  /// last moment that its estimates allow.
  double staleness_weight = 0.5;
  /// Factor on the expected work time, for errors of the estimate.
  double safety = 1.0;
};

/// Decides how far ahead of a trainer's need the work on a step starts.
/// Thread-safe.
class LeadPolicy {
 public:
  /// Precondition: `settings.staleness_weight` is in [0, 1].
  explicit LeadPolicy(const LeadSettings& settings);

  /// Whether work that is expected to take `work` and is needed in
  /// `until_need` starts now.
  /// `staleness_weight`, in [0, 1], goes before the settings' where given.
  bool StartsNow(Duration until_need, Duration work,
                 std::optional<double> staleness_weight = std::nullopt) const;

 private:
  const LeadSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_LEAD_POLICY_H_
