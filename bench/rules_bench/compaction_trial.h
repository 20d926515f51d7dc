#ifndef BENCH_RULES_BENCH_COMPACTION_TRIAL_H_
#define BENCH_RULES_BENCH_COMPACTION_TRIAL_H_

#include <cstddef>
#include <cstdint>

namespace briarspread::bench {

/// Measured costs of a snapshot interval.
struct CompactionResult {
  /// Maximum number of changes in the head before a snapshot is written.
  std::size_t interval = 0;
  /// Number of rules in the text.
  std::size_t rules = 0;
  /// Size of the text in bytes.
  std::size_t text_bytes = 0;
  /// Time to read the rules without a known text, by snapshot and replay, in
  /// milliseconds; mean over all changes.
  double cold_read_ms = 0;
  /// Maximum of these times, in milliseconds.
  double longest_cold_read_ms = 0;
  /// Mean time to read one change starting from the previous text, in
  /// microseconds.
  double follow_us = 0;
  /// Mean number of bytes that a watcher reads per change.
  double watch_bytes = 0;
  /// Mean number of bytes written to the store per change.
  double written_bytes = 0;
  /// Mean number of writes to the store per change.
  double writes = 0;
};

/// Measures the costs of `changes` changes of one line each to a text of
/// `rules` rules at a snapshot interval.
CompactionResult RunCompactionTrial(std::size_t interval, std::size_t rules,
                                    std::size_t changes, std::uint64_t seed);

}  // namespace briarspread::bench

#endif  // BENCH_RULES_BENCH_COMPACTION_TRIAL_H_
