#ifndef BRIARSPREAD_ROLLOUT_STALENESS_POLICY_H_
#define BRIARSPREAD_ROLLOUT_STALENESS_POLICY_H_

#include <cstdint>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Settings of `StalenessPolicy`.
struct StalenessSettings {
  /// Whether samples that exceed the staleness bound are not delivered.
  /// Disabled only in tests that show what the check prevents.
  bool is_enforced = true;
  /// Whether work whose samples are expected to be too old is not started, or
  /// is cancelled.
  bool cancels_early = true;
};

/// Returns the number of versions by which `oldest` is older than `newest`;
/// zero if it is not older. Thread-safe.
constexpr std::uint64_t StalenessOf(WeightVersion oldest,
                                    WeightVersion newest) {
  return oldest < newest ? newest.value() - oldest.value() : 0;
}

/// Decides which samples are too old. Thread-safe.
class StalenessPolicy {
 public:
  explicit StalenessPolicy(const StalenessSettings& settings)
      : settings_(settings) {}

  /// Returns whether a sample whose oldest version is `oldest` may be delivered
  /// to a trainer whose newest version is `newest`.
  bool CanDeliver(WeightVersion oldest, WeightVersion newest,
                  std::uint64_t bound) const;

  /// Returns whether it is useful to start or continue work whose oldest
  /// version is `oldest` if `changes` further versions are expected before the
  /// sample is delivered.
  bool IsWorthRunning(WeightVersion oldest, WeightVersion newest,
                      std::uint64_t bound, std::uint64_t changes) const;

 private:
  const StalenessSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STALENESS_POLICY_H_
