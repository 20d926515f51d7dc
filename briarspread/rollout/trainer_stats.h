#ifndef BRIARSPREAD_ROLLOUT_TRAINER_STATS_H_
#define BRIARSPREAD_ROLLOUT_TRAINER_STATS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

namespace briarspread {

/// Staleness of samples handed over, in versions. The 95th percentile is exact
/// up to `kMaxTold` versions: staleness takes few values, on which streaming
/// quantile estimators interpolate wrongly. Not thread-safe.
class StalenessStats {
 public:
  /// Higher values count as this one in the percentile.
  static constexpr std::size_t kMaxTold = 255;

  /// Adds one sample.
  void Add(std::uint64_t staleness);
  /// Samples added.
  std::uint64_t count() const { return count_; }
  /// Their mean; zero where there are none.
  double Mean() const;
  /// Their 95th percentile; zero where there are none.
  std::uint64_t Percentile95() const;

 private:
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::mean>>
      mean_;
  std::array<std::uint64_t, kMaxTold + 1> counts_{};
  std::uint64_t count_ = 0;
};

/// What one trainer's samples cost and how they were handed over. A group
/// handed over twice, since its reply was lost, counts twice.
struct TrainerStats {
  /// Of samples handed over.
  StalenessStats staleness;
  /// Samples finished, first finisher only.
  std::uint64_t finished = 0;
  /// Their tokens.
  std::uint64_t tokens = 0;
  /// Runs that failed.
  std::uint64_t failed_runs = 0;
  /// Finished runs whose versions were not known.
  std::uint64_t unlabelled_runs = 0;
  /// Second runs started for stragglers, and those that finished first.
  std::uint64_t hedges = 0;
  std::uint64_t hedges_won = 0;
  /// Times that work was not started, since it would have been too old.
  std::uint64_t not_started_stale = 0;
  /// Runs cut, since they would have been too old.
  std::uint64_t cut_stale = 0;
  /// Tokens of finished samples dropped, since they became too old.
  std::uint64_t dropped_stale_tokens = 0;
  /// Tokens of runs that gave no sample: lost hedges, cuts, failures.
  std::uint64_t wasted_tokens = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_TRAINER_STATS_H_
