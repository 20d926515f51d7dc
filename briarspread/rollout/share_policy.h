#ifndef BRIARSPREAD_ROLLOUT_SHARE_POLICY_H_
#define BRIARSPREAD_ROLLOUT_SHARE_POLICY_H_

#include <cstdint>
#include <optional>
#include <span>

#include "briarspread/core/clock.h"

namespace briarspread {

/// How the engines' slots are shared among trainers.
enum class ShareMode {
  /// By the work and the time left until each trainer needs its next step.
  kByNeed,
  /// The step submitted first is served first; a baseline.
  kFirstCome,
  /// Trainers are served in turn; a baseline.
  kRoundRobin,
};

/// Settings of `SharePolicy`.
struct SharePolicySettings {
  ShareMode mode = ShareMode::kByNeed;
  /// Share of the slots that is divided among trainers by weight and reserved
  /// for them while they have work, however urgent the need of others.
  double floor_share = 0.2;
  /// Lower limit of the time until a trainer needs a step in the computation of
  /// its need.
  milliseconds min_time_to_need{1000};
};

/// One trainer's claim on the next slot.
struct ShareClaim {
  /// Weight of the trainer relative to others, by its rule; greater than zero.
  double weight = 1;
  /// Number of slots that the trainer uses.
  std::size_t running = 0;
  /// Remaining engine time of the trainer's due work up to and including the
  /// step, summed over all samples.
  Duration work{};
  /// Time until the trainer needs the step.
  Duration until_need{};
  /// When the step was submitted.
  TimePoint submitted{};
  /// When the trainer last got a slot.
  TimePoint last_served{};
};

/// Decides which trainer gets the next slot. Thread-safe.
class SharePolicy {
 public:
  explicit SharePolicy(const SharePolicySettings& settings)
      : settings_(settings) {}

  /// Returns the index of the claim that gets the next of `slots` slots;
  /// nothing if there are no claims.
  std::optional<std::size_t> Choose(std::span<const ShareClaim> claims,
                                    std::size_t slots) const;

 private:
  std::size_t ChooseByNeed(std::span<const ShareClaim> claims,
                           std::size_t slots) const;

  const SharePolicySettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_SHARE_POLICY_H_
