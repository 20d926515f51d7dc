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

/// What an instance counts of one class of requests.
struct ClassMetrics {
  /// Requests by verdict, in the enum's order.
  std::array<std::atomic<std::uint64_t>, 3> by_verdict{};
  /// Seconds from arrival to final answer.
  Histogram latency;
};

/// What an instance counts of one trainer.
struct TrainerMetrics {
  std::atomic<std::uint64_t> samples{0};
  std::atomic<std::uint64_t> discarded_stale{0};
  /// Versions between a sample's oldest version and the trainer's newest.
  Histogram staleness;
  /// Seconds that pulls waited for samples.
  Histogram wait;
};

/// All that an entry instance counts. Recording is lock-free. Thread-safe.
class EntryMetrics {
 public:
  /// Counts one live request with its final verdict.
  void CountRequest(std::string_view request_class, Verdict verdict,
                    Duration latency);
  /// The trainer's metrics.
  TrainerMetrics& Trainer(std::string_view trainer) {
    return trainers_.Of(trainer);
  }

  /// Exchanges with upstreams, second ones of a request, streams resumed.
  std::atomic<std::uint64_t> exchanges{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> resumed_streams{0};
  /// Answers that belonged to another exchange or came cut, and were dropped.
  std::atomic<std::uint64_t> dropped_answers{0};
  /// Requests refused at admission.
  std::atomic<std::uint64_t> refused{0};
  /// Requests forwarded to another instance.
  std::atomic<std::uint64_t> forwarded{0};
  /// Calls made to the key-value service.
  std::atomic<std::uint64_t> store_calls{0};

  /// All metrics in the text format of Prometheus.
  std::string ToPrometheus() const;

 private:
  LabelledMetrics<ClassMetrics> classes_;
  LabelledMetrics<TrainerMetrics> trainers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_ENTRY_METRICS_H_
