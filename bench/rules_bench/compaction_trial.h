#ifndef BENCH_RULES_BENCH_COMPACTION_TRIAL_H_
#define BENCH_RULES_BENCH_COMPACTION_TRIAL_H_

#include <cstddef>
#include <cstdint>

namespace briarspread::bench {

/// What a snapshot interval costs.
struct CompactionResult {
  /// Changes that the head holds before a snapshot is written.
  std::size_t interval = 0;
  /// Rules in the text.
  std::size_t rules = 0;
  /// Bytes of the text.
  std::size_t text_bytes = 0;
  /// Processor time to read the rules anew, snapshot and replay, in
  /// milliseconds; mean over all lengths of the log.
  double cold_read_ms = 0;
  /// The longest of them.
  double longest_cold_read_ms = 0;
  /// Processor time to follow one change, in microseconds.
  double follow_us = 0;
  /// Bytes that a watcher is sent for each change.
  double watch_bytes = 0;
  /// Bytes written to the store for each change.
  double written_bytes = 0;
  /// Writes to the store for each change.
  double writes = 0;
};

/// Makes changes to a text of `rules` rules, each of one line, at a snapshot
/// interval, and follows them.
CompactionResult RunCompactionTrial(std::size_t interval, std::size_t rules,
                                    std::size_t changes, std::uint64_t seed);

}  // namespace briarspread::bench

#endif  // BENCH_RULES_BENCH_COMPACTION_TRIAL_H_
