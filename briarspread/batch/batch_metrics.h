#ifndef BRIARSPREAD_BATCH_BATCH_METRICS_H_
#define BRIARSPREAD_BATCH_BATCH_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "briarspread/observe/histogram.h"
#include "briarspread/observe/prometheus_writer.h"

namespace briarspread::batch {

/// Counters and timings of batch jobs. Loop's thread only.
struct BatchMetrics {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_adopted = 0;
  std::uint64_t jobs_handed_over = 0;
  std::uint64_t jobs_lost = 0;
  std::uint64_t jobs_ended = 0;
  /// Groups whose results were all listed as complete before their job was due,
  /// and after it was due.
  std::uint64_t groups_in_time = 0;
  std::uint64_t groups_late = 0;
  /// Target groups of ended jobs.
  std::uint64_t groups_wanted = 0;
  std::uint64_t items_listed = 0;
  /// Items given up, by reason.
  std::map<std::string, std::uint64_t> items_given_up;
  std::uint64_t items_carried = 0;
  /// Items that began again, since no engine could go on with their text.
  std::uint64_t items_restarted = 0;
  /// Listed results by staleness: the number of versions between the oldest
  /// version that made their text and the newest version seen.
  std::map<std::uint64_t, std::uint64_t> staleness;
  /// Runs by outcome.
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t runs_moved = 0;
  std::uint64_t chunks_written = 0;
  /// Seconds that an item spends in each stage: waiting for a run, running,
  /// waiting for its score, and from its final result until it is listed.
  Histogram waiting;
  Histogram running;
  Histogram scoring;
  Histogram listing;
  /// Seconds from when this instance became the owner of a job until the job's
  /// target groups were listed: the trainer's idle time.
  Histogram trainer_wait;
};

/// Writes the metrics in the Prometheus text format.
void Write(const BatchMetrics& metrics, PrometheusWriter& out);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_BATCH_METRICS_H_
