#include "briarspread/routing/slowness_estimate.h"

#include <algorithm>
#include <cmath>

namespace briarspread {
namespace {

/// Time in which the weight of a reading decreases to 1/e.
constexpr Duration kDecayTime = std::chrono::milliseconds(700);
/// Weight of the expected value, in units of one new reading.
constexpr double kExpectedWeight = 2.0;
/// Limits of a reading; a value outside them is an error of its writer.
constexpr std::uint32_t kMinPercent = 10;
constexpr std::uint32_t kMaxPercent = 10'000;

}  // namespace

double SlownessEstimate::Decay(TimePoint now) const {
  const Duration age = std::max<Duration>(now - updated_, Duration::zero());
  return std::exp(-SecondsOf(age) / SecondsOf(kDecayTime));
}

void SlownessEstimate::Record(std::uint32_t percent, TimePoint now) {
  if (percent == 0) return;
  const double ratio = std::clamp(percent, kMinPercent, kMaxPercent) / 100.0;
  const double decay = Decay(now);
  weight_ = weight_ * decay + 1;
  weighted_sum_ = weighted_sum_ * decay + ratio;
  updated_ = now;
}

double SlownessEstimate::At(TimePoint now, double expected) const {
  if (weight_ == 0) return expected;
  const double decay = Decay(now);
  return (weighted_sum_ * decay + expected * kExpectedWeight) /
         (weight_ * decay + kExpectedWeight);
}

}  // namespace briarspread
