#ifndef PROGRAMS_LOAD_LOAD_REPORT_H_
#define PROGRAMS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "briarspread/client/caller_client.h"
#include "briarspread/core/clock.h"

namespace briarspread {

/// Results of the live calls of one request class.
struct ClassReport {
  std::uint64_t calls = 0;
  /// Number of calls by verdict.
  std::map<std::string, std::uint64_t> verdicts;
  /// Number of responses that did not belong to the request.
  std::uint64_t wrong_answers = 0;
  /// Latencies of answered calls, in milliseconds.
  std::vector<double> latencies_ms;
};

/// Results of a trainer's steps.
struct TrainerReport {
  std::uint64_t steps = 0;
  std::uint64_t samples = 0;
  /// Samples of groups that were delivered before.
  std::uint64_t duplicated = 0;
  /// Samples that were not delivered before the step timed out.
  std::uint64_t lost = 0;
  /// Samples that exceeded the staleness bound.
  std::uint64_t stale = 0;
  /// Samples without weight versions.
  std::uint64_t unlabelled = 0;
  /// The weight versions that the samples named.
  std::set<std::uint64_t> versions;
  /// Staleness of each sample in versions: the newest version at the pull minus
  /// the oldest version of the sample.
  std::vector<double> staleness;
  /// Time spent waiting for samples.
  double idle_seconds = 0;
  /// Time since the trainer started.
  double total_seconds = 0;
};

/// Collects the results of a load run. Thread-safe.
class LoadReport {
 public:
  /// Records a live call. `wrong`: the response did not belong to the request.
  void AddCall(const std::string& request_class, const CallerAnswer& answer,
               bool wrong, Duration latency);
  /// Replaces the results of the trainer.
  void SetTrainer(const TrainerReport& report);

  /// Returns the results as readable text.
  std::string ToText() const;
  /// Returns the results as JSON text.
  std::string ToJson() const;
  /// Returns whether a guarantee was violated: a response was wrong, or a
  /// sample was duplicated, lost, stale or unlabelled.
  bool HasViolations() const;

 private:
  /// Guards the members below.
  mutable std::mutex mutex_;
  std::map<std::string, ClassReport> classes_;
  TrainerReport trainer_;
};

/// Returns the element of the sorted `values` that is nearest to a percentile,
/// or zero if there are no values. `share` is the percentile, from 0 to 1.
double Percentile(std::vector<double> values, double share);

}  // namespace briarspread

#endif  // PROGRAMS_LOAD_LOAD_REPORT_H_
