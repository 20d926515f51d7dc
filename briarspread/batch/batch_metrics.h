#ifndef BRIARSPREAD_BATCH_BATCH_METRICS_H_
#define BRIARSPREAD_BATCH_BATCH_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "briarspread/observe/histogram.h"
#include "briarspread/observe/prometheus_writer.h"

namespace briarspread::batch {

/// Counts of batch work. Loop's thread only.
struct BatchMetrics {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_adopted = 0;
  std::uint64_t jobs_handed_over = 0;
  std::uint64_t jobs_lost = 0;
  std::uint64_t jobs_ended = 0;
  /// Groups that were complete in the list before their job was due, and
  /// after.
  std::uint64_t groups_in_time = 0;
  std::uint64_t groups_late = 0;
  /// Groups that trainers of ended jobs waited for.
  std::uint64_t groups_wanted = 0;
  std::uint64_t items_listed = 0;
  /// Items given up, by reason.
  std::map<std::string, std::uint64_t> items_given_up;
  std::uint64_t items_carried = 0;
  /// Results listed, by how many versions their oldest text was behind the
  /// newest version seen.
  std::map<std::uint64_t, std::uint64_t> staleness;
  /// Runs by outcome.
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t runs_moved = 0;
  std::uint64_t chunks_written = 0;
  /// Seconds of an item's stages: until its run, its run, its reward call, and
  /// from its final result to the list.
  Histogram waiting;
  Histogram running;
  Histogram scoring;
  Histogram listing;
  /// Seconds from a job's acceptance until the groups that its trainer waits
  /// for were listed: the trainer's idle time.
  Histogram trainer_wait;
};

/// Writes the counts as text.
void Write(const BatchMetrics& metrics, PrometheusWriter& out);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_BATCH_METRICS_H_
