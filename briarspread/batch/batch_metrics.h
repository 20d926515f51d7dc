#ifndef BRIARSPREAD_BATCH_BATCH_METRICS_H_
#define BRIARSPREAD_BATCH_BATCH_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

namespace briarspread::batch {

/// Counts of batch work. Loop's thread only.
struct BatchMetrics {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_adopted = 0;
  std::uint64_t jobs_handed_over = 0;
  std::uint64_t jobs_lost = 0;
  std::uint64_t jobs_ended = 0;
  /// Groups of ended jobs that were complete by then.
  std::uint64_t groups_complete = 0;
  std::uint64_t groups_wanted = 0;
  std::uint64_t items_listed = 0;
  std::uint64_t items_given_up = 0;
  std::uint64_t items_carried = 0;
  /// Runs by outcome.
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t runs_moved = 0;
  std::uint64_t chunks_written = 0;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_BATCH_METRICS_H_
