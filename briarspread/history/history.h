#ifndef BRIARSPREAD_HISTORY_HISTORY_H_
#define BRIARSPREAD_HISTORY_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// Wall-clock time in milliseconds since the Unix epoch.
using HistoryTime = std::int64_t;

/// A request of a caller, from the first send to the final response.
struct CallRecord {
  /// Identifies the request; shared by its retries.
  RequestKey key;
  /// The request's class, for reports.
  RequestClass request_class;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Time of the first send.
  HistoryTime sent = 0;
  /// Time at which the final response was received.
  HistoryTime returned = 0;
  /// The verdict that the caller received.
  Verdict verdict = Verdict::kNotRun;
  /// The key that the response names; empty if the request was not answered.
  RequestKey answered_key;
  /// Whether the response was complete.
  bool is_complete = false;
};

/// A run of a request at an upstream, recorded before the run starts.
struct RunRecord {
  UpstreamId upstream;
  RequestKey key;
  HistoryTime started = 0;
};

/// The time at which an upstream was marked as leaving.
struct LeaveRecord {
  UpstreamId upstream;
  HistoryTime at = 0;
};

/// A range of tokens that an engine generated for a prompt with one weight
/// version.
struct GenerationRecord {
  UpstreamId upstream;
  std::string prompt;
  WeightVersion version;
  /// Index of the first token, and of the one after the last.
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
};

/// A sample that a trainer received. A sample has one record for each token
/// range of its version label.
struct DeliveryRecord {
  TrainerId trainer;
  StepNumber step;
  GroupId group;
  SampleIndex sample;
  /// Number of the group's delivery, counted from zero. A group with several
  /// numbers was delivered more than once.
  std::uint32_t delivery = 0;
  std::string prompt;
  WeightVersion version;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
  /// The newest version that the trainer had when it pulled.
  WeightVersion newest;
  /// Maximum number of versions that a sample may be behind `newest`.
  std::uint64_t staleness_bound = 0;
};

/// All records of callers, trainers and upstreams from one scenario run.
struct History {
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<LeaveRecord> leaves;
  std::vector<GenerationRecord> generations;
  std::vector<DeliveryRecord> deliveries;
};

/// Returns a record as one line of JSON without a newline. Thread-safe.
std::string ToLine(const CallRecord& record);
std::string ToLine(const RunRecord& record);
std::string ToLine(const LeaveRecord& record);
std::string ToLine(const GenerationRecord& record);
std::string ToLine(const DeliveryRecord& record);

/// Parses `text`, which holds one record per line, and appends the records to
/// `history`. Returns `kInvalidArgument` with the number of the first line that
/// cannot be parsed. Ignores a last line without a newline, which a killed
/// process can leave, and records of unknown kinds. Not thread-safe for the
/// same `history`.
Status AddLines(const std::string& text, History& history);

}  // namespace briarspread

#endif  // BRIARSPREAD_HISTORY_HISTORY_H_
