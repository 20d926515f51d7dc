#include "briarspread/rollout/trainer_stats.h"

#include <algorithm>
#include <cmath>

namespace briarspread {
namespace {

constexpr double kHighShare = 0.95;

}  // namespace

void StalenessStats::Add(std::uint64_t staleness) {
  mean_(static_cast<double>(staleness));
  ++counts_[std::min<std::uint64_t>(staleness, kMaxCounted)];
  ++count_;
}

double StalenessStats::Mean() const {
  return count_ == 0 ? 0 : boost::accumulators::mean(mean_);
}

std::uint64_t StalenessStats::Percentile95() const {
  const auto wanted = static_cast<std::uint64_t>(
      std::ceil(kHighShare * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i <= kMaxCounted; ++i) {
    seen += counts_[i];
    if (seen >= wanted) return i;
  }
  return kMaxCounted;
}

}  // namespace briarspread
