#ifndef BRIARSPREAD_OBSERVE_HISTOGRAM_H_
#define BRIARSPREAD_OBSERVE_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace briarspread {

/// Summary of the values in a histogram.
struct HistogramSummary {
  /// Number of recorded values.
  std::uint64_t count = 0;
  /// Sum and mean, approximated by the midpoints of the buckets.
  double sum = 0;
  double mean = 0;
  /// Upper edges of the buckets that contain the 50th, 95th and 99th
  /// percentile, and of the highest bucket in use.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

/// Histogram of positive values. Buckets grow by an eighth of an octave, so
/// that a percentile is off by at most 9%. Recording a value costs one atomic
/// addition; `Summarize` computes the statistics by Boost.Accumulators.
/// Thread-safe.
class Histogram {
 public:
  /// Records `value`. A value that is not above zero is counted in the first
  /// bucket.
  void Record(double value);
  /// Returns a summary of all values recorded so far.
  HistogramSummary Summarize() const;

 private:
  static constexpr std::size_t kBucketsPerOctave = 8;
  /// Values range from 2^-20 (a microsecond, in seconds) to 2^20.
  static constexpr int kFirstOctave = -20;
  static constexpr int kOctaves = 40;
  static constexpr std::size_t kBuckets = kOctaves * kBucketsPerOctave;

  static std::size_t BucketOf(double value);
  static double UpperEdge(std::size_t bucket);

  /// Number of values in each bucket.
  std::array<std::atomic<std::uint64_t>, kBuckets> counts_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_HISTOGRAM_H_
