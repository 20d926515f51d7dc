#ifndef BRIARSPREAD_ROLLOUT_TRAINER_STATS_H_
#define BRIARSPREAD_ROLLOUT_TRAINER_STATS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

namespace briarspread {

/// Staleness of delivered samples in versions. The 95th percentile is exact up
/// to `kMaxCounted` versions. It is computed from counts because staleness has
/// few distinct values, for which streaming quantile estimators interpolate
/// wrongly. Not thread-safe.
class StalenessStats {
 public:
  /// Higher values are counted as this value in the percentile.
  static constexpr std::size_t kMaxCounted = 255;

  /// Adds the staleness of one sample.
  void Add(std::uint64_t staleness);
  /// The number of samples added.
  std::uint64_t count() const { return count_; }
  /// Returns the mean; zero if there are no samples.
  double Mean() const;
  /// Returns the 95th percentile; zero if there are no samples.
  std::uint64_t Percentile95() const;

 private:
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::mean>>
      mean_;
  std::array<std::uint64_t, kMaxCounted + 1> counts_{};
  std::uint64_t count_ = 0;
};

/// Counts of one trainer's samples and runs. A group that is delivered twice
/// because a reply was lost is counted twice.
struct TrainerStats {
  /// Staleness of delivered samples.
  StalenessStats staleness;
  /// Finished samples, without those of further runs of the same sample.
  std::uint64_t finished = 0;
  /// Tokens of finished samples.
  std::uint64_t tokens = 0;
  /// Runs that failed and had not been cancelled.
  std::uint64_t failed_runs = 0;
  /// Finished runs whose versions were not known for all tokens.
  std::uint64_t unlabelled_runs = 0;
  /// Hedges started for stragglers, and those of them that finished first.
  std::uint64_t hedges = 0;
  std::uint64_t hedges_won = 0;
  /// Number of times that work was not started because its samples would have
  /// been too old.
  std::uint64_t not_started_stale = 0;
  /// Runs cancelled because their samples would have been too old.
  std::uint64_t cancelled_stale = 0;
  /// Tokens of finished samples that were dropped because they became too old.
  std::uint64_t dropped_stale_tokens = 0;
  /// Tokens of runs that provided no sample: those that finished second, were
  /// cancelled or failed, or whose versions were not known.
  std::uint64_t wasted_tokens = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_STATS_H_
