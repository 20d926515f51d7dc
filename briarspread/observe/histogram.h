#ifndef BRIARSPREAD_OBSERVE_HISTOGRAM_H_
#define BRIARSPREAD_OBSERVE_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace briarspread {

/// What a histogram holds, summed up.
struct HistogramSummary {
  /// Values recorded.
  std::uint64_t count = 0;
  double sum = 0;
  double mean = 0;
  /// Upper edges of the buckets that hold these shares of the values.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

/// Counts positive values in buckets that grow by an eighth of an octave, so
/// that a percentile is off by at most 9%. Recording costs one atomic addition;
/// Boost.Accumulators sums up when a reader asks. Thread-safe.
class Histogram {
 public:
  /// Records `value`; one that is not above zero counts in the first bucket.
  void Record(double value);
  /// Sums up all values so far.
  HistogramSummary Summarize() const;

 private:
  static constexpr std::size_t kBucketsPerOctave = 8;
  /// From 2^-20 (a microsecond, in seconds) to 2^20.
  static constexpr int kFirstOctave = -20;
  static constexpr int kOctaves = 40;
  static constexpr std::size_t kBuckets = kOctaves * kBucketsPerOctave;

  static std::size_t BucketOf(double value);
  static double UpperEdge(std::size_t bucket);

  /// Values by bucket.
  std::array<std::atomic<std::uint64_t>, kBuckets> counts_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_HISTOGRAM_H_
