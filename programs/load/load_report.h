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

/// What became of one class of live calls.
struct ClassReport {
  std::uint64_t calls = 0;
  /// Calls by verdict.
  std::map<std::string, std::uint64_t> verdicts;
  /// Answers that carried another request's content.
  std::uint64_t wrong_answers = 0;
  /// Latencies of answered calls, in milliseconds.
  std::vector<double> latencies_ms;
};

/// What became of a trainer's steps.
struct TrainerReport {
  std::uint64_t steps = 0;
  std::uint64_t samples = 0;
  std::uint64_t doubled = 0;
  std::uint64_t lost = 0;
  std::uint64_t stale = 0;
  std::uint64_t unlabelled = 0;
  std::set<std::uint64_t> versions;
  /// Staleness of each sample, in versions.
  std::vector<double> staleness;
  /// Time spent waiting for samples, and in all.
  double idle_seconds = 0;
  double total_seconds = 0;
};

/// Gathers a run's results. Thread-safe.
class LoadReport {
 public:
  /// Counts one live call.
  void AddCall(const std::string& request_class, const CallerAnswer& answer,
               bool wrong, Duration latency);
  /// Replaces the trainer's part.
  void SetTrainer(const TrainerReport& report);

  /// The table for people.
  std::string ToText() const;
  /// The same as JSON text.
  std::string ToJson() const;
  /// Whether a promise of the brief was broken.
  bool IsBroken() const;

 private:
  /// Guards all below.
  mutable std::mutex mutex_;
  std::map<std::string, ClassReport> classes_;
  TrainerReport trainer_;
};

/// The value below which `share` of `values` lie; zero where there are none.
double Percentile(std::vector<double> values, double share);

}  // namespace briarspread

#endif  // PROGRAMS_LOAD_LOAD_REPORT_H_
