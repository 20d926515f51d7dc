#ifndef BRIARSPREAD_ROLLOUT_STALENESS_POLICY_H_
#define BRIARSPREAD_ROLLOUT_STALENESS_POLICY_H_

#include <cstdint>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Settings of `StalenessPolicy`.
struct StalenessSettings {
  /// Whether samples beyond the bound are held back. Off only in tests that
  /// show what the check prevents.
  bool is_enforced = true;
  /// Whether work that would be too old is not started or is cut.
  bool cuts_early = true;
};

/// Versions between `oldest` and `newest`; zero where `oldest` is the newer.
/// Thread-safe.
constexpr std::uint64_t StalenessOf(WeightVersion oldest,
                                    WeightVersion newest) {
  return oldest < newest ? newest.value() - oldest.value() : 0;
}

/// Decides which samples are too old. Thread-safe.
class StalenessPolicy {
 public:
  explicit StalenessPolicy(const StalenessSettings& settings)
      : settings_(settings) {}

  /// Whether a sample whose oldest span is `oldest` may reach a trainer whose
  /// newest version is `newest`.
  bool MayDeliver(WeightVersion oldest, WeightVersion newest,
                  std::uint64_t bound) const;

  /// Whether work with `oldest` so far is worth `left` more time, while
  /// versions change every `version_interval` (zero: not known to change).
  bool IsWorthRunning(WeightVersion oldest, WeightVersion newest,
                      std::uint64_t bound, Duration left,
                      Duration version_interval) const;

 private:
  const StalenessSettings settings_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STALENESS_POLICY_H_
