#ifndef BRIARSPREAD_OBSERVE_ENTRY_METRICS_H_
#define BRIARSPREAD_OBSERVE_ENTRY_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "briarspread/core/clock.h"
#include "briarspread/core/verdict.h"
#include "briarspread/observe/histogram.h"
#include "briarspread/observe/labelled_metrics.h"

namespace briarspread {

/// Metrics of one class of requests.
struct ClassMetrics {
  /// Number of requests by verdict, indexed by the enum's value.
  std::array<std::atomic<std::uint64_t>, 3> by_verdict{};
  /// Seconds from the arrival of a request to its final response.
  Histogram latency;
};

/// Metrics of one trainer.
struct TrainerMetrics {
  std::atomic<std::uint64_t> samples{0};
  std::atomic<std::uint64_t> discarded_stale{0};
  /// Number of versions from a sample's oldest version to the trainer's newest.
  Histogram staleness;
  /// Seconds that a trainer's pulls waited for samples.
  Histogram wait;
};

/// All metrics of an entry instance. Recording is lock-free. Thread-safe.
class EntryMetrics {
 public:
  /// Records one live request with its final verdict.
  void CountRequest(std::string_view request_class, Verdict verdict,
                    Duration latency);
  /// Returns the trainer's metrics; creates them on first use.
  TrainerMetrics& Trainer(std::string_view trainer) {
    return trainers_.Get(trainer);
  }

  /// Number of exchanges with upstreams, of retries, and of streams resumed
  /// after a failure.
  std::atomic<std::uint64_t> exchanges{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> resumed_streams{0};
  /// Responses discarded because they belonged to another exchange or were
  /// truncated.
  std::atomic<std::uint64_t> dropped_answers{0};
  /// Requests rejected at admission.
  std::atomic<std::uint64_t> refused{0};
  /// Requests forwarded to another instance.
  std::atomic<std::uint64_t> forwarded{0};
  /// Calls made to the key-value service.
  std::atomic<std::uint64_t> store_calls{0};

  /// Returns all metrics in the text format of Prometheus.
  std::string ToPrometheus() const;

 private:
  LabelledMetrics<ClassMetrics> classes_;
  LabelledMetrics<TrainerMetrics> trainers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_ENTRY_METRICS_H_
