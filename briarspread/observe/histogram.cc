#include "briarspread/observe/histogram.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/weighted_mean.hpp>
#include <boost/accumulators/statistics/weighted_sum.hpp>
#include <cmath>

namespace briarspread {
namespace {

namespace acc = boost::accumulators;

using Accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::weighted_mean, acc::tag::weighted_sum, acc::tag::max>,
    double>;

/// Midpoint of a bucket as a fraction of its upper edge.
constexpr double kMidpointFactor = 0.9585;

}  // namespace

std::size_t Histogram::BucketOf(double value) {
  if (!(value > 0)) return 0;
  const double position = (std::log2(value) - kFirstOctave) * kBucketsPerOctave;
  const double last = static_cast<double>(kBuckets - 1);
  return static_cast<std::size_t>(std::clamp(position, 0.0, last));
}

double Histogram::UpperEdge(std::size_t bucket) {
  return std::exp2(static_cast<double>(bucket + 1) / kBucketsPerOctave +
                   kFirstOctave);
}

void Histogram::Record(double value) {
  counts_[BucketOf(value)].fetch_add(1, std::memory_order_relaxed);
}

HistogramSummary Histogram::Summarize() const {
  std::array<std::uint64_t, kBuckets> counts{};
  HistogramSummary summary;
  Accumulator accumulator;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    counts[i] = counts_[i].load(std::memory_order_relaxed);
    if (counts[i] == 0) continue;
    summary.count += counts[i];
    accumulator(UpperEdge(i) * kMidpointFactor,
                acc::weight = static_cast<double>(counts[i]));
    summary.max = UpperEdge(i);
  }
  if (summary.count == 0) return summary;
  summary.sum = acc::weighted_sum(accumulator);
  summary.mean = acc::weighted_mean(accumulator);
  const auto percentile = [&](double share) {
    const double wanted = share * static_cast<double>(summary.count);
    double seen = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      seen += static_cast<double>(counts[i]);
      if (seen >= wanted && counts[i] > 0) return UpperEdge(i);
    }
    return summary.max;
  };
  summary.p50 = percentile(0.50);
  summary.p95 = percentile(0.95);
  summary.p99 = percentile(0.99);
  return summary;
}

}  // namespace briarspread
