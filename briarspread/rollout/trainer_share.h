#ifndef BRIARSPREAD_ROLLOUT_TRAINER_SHARE_H_
#define BRIARSPREAD_ROLLOUT_TRAINER_SHARE_H_

#include <cstdint>
#include <optional>
#include <span>

#include "briarspread/core/clock.h"

namespace briarspread {

/// How engines are shared among trainers.
enum class ShareMode {
  /// By the time until each trainer starves against its expected supply.
  kByNeed,
  /// The step submitted first goes first; a baseline.
  kFirstCome,
  /// Trainers in turn; a baseline.
  kEqualTurns,
};

/// Settings of `TrainerShare`.
struct TrainerShareSettings {
  ShareMode mode = ShareMode::kByNeed;
  /// Part of the slots, shared by weight, that need cannot take from a trainer
  /// with work to do.
  double floor_share = 0.2;
  /// The shortest time until a trainer starves that is told apart from zero.
  milliseconds shortest_need{1000};
};

/// One trainer's claim on the next slot.
struct ShareClaim {
  /// Share against other trainers, by rule; above zero.
  double weight = 1;
  /// Slots that the trainer holds.
  std::size_t running = 0;
  /// Engine time that its next step still takes, over all samples.
  Duration work{};
  /// Time until it needs that step.
  Duration until_need{};
  /// When the step was submitted.
  TimePoint submitted{};
  /// When the trainer last got a slot.
  TimePoint last_served{};
};

/// Decides which trainer gets the next slot. Thread-safe.
class TrainerShare {
 public:
  explicit TrainerShare(const TrainerShareSettings& settings)
      : settings_(settings) {}

  /// The index of the claim that gets the next of `slots` slots; nothing where
  /// there are no claims.
  std::optional<std::size_t> Choose(std::span<const ShareClaim> claims,
                                    std::size_t slots) const;

 private:
  std::size_t ChooseByNeed(std::span<const ShareClaim> claims,
                           std::size_t slots) const;

  const TrainerShareSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_SHARE_H_
