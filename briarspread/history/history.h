#ifndef BRIARSPREAD_HISTORY_HISTORY_H_
#define BRIARSPREAD_HISTORY_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// Milliseconds of the machine's wall clock, as histories record them.
using HistoryTime = std::int64_t;

/// A caller's request, from its first send to its final answer.
struct CallRecord {
  /// The request's key; unique to the request, shared by its re-sends.
  RequestKey key;
  /// Its class, for reports.
  RequestClass request_class;
  /// Whether it may run more than once.
  bool idempotent = false;
  /// When it was first sent.
  HistoryTime sent = 0;
  /// When its final answer was there.
  HistoryTime returned = 0;
  /// The verdict that the caller was given.
  Verdict verdict = Verdict::kNotRun;
  /// The key that the answer names as its own; empty without an answer.
  RequestKey answered_key;
  /// Whether the answer ended with its end marker or its length.
  bool whole = false;
};

/// One run of a request at an upstream, recorded before its work began.
struct RunRecord {
  UpstreamId upstream;
  RequestKey key;
  HistoryTime started = 0;
};

/// An upstream that was told to leave, or was seen leaving in the list.
struct LeaveRecord {
  UpstreamId upstream;
  HistoryTime at = 0;
};

/// Tokens that an engine generated for a prompt with one weight version.
struct GenerationRecord {
  UpstreamId upstream;
  std::string prompt;
  WeightVersion version;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
};

/// A sample as it reached a trainer; one record for each span of its label.
struct DeliveryRecord {
  TrainerId trainer;
  StepNumber step;
  GroupId group;
  SampleIndex sample;
  /// Which delivery of the group this was; a second one is a doubled group.
  std::uint32_t delivery = 0;
  std::string prompt;
  WeightVersion version;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
  /// The trainer's newest version when it pulled, and its bound.
  WeightVersion newest;
  std::uint64_t staleness_bound = 0;
};

/// All that callers, trainers and upstreams recorded of one run.
struct History {
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<LeaveRecord> leaves;
  std::vector<GenerationRecord> generations;
  std::vector<DeliveryRecord> deliveries;
};

/// One record as a line of JSON, without a line end. Thread-safe.
std::string ToLine(const CallRecord& record);
std::string ToLine(const RunRecord& record);
std::string ToLine(const LeaveRecord& record);
std::string ToLine(const GenerationRecord& record);
std::string ToLine(const DeliveryRecord& record);

/// Adds the records in `text`, one a line. The error names the first line that
/// cannot be read; a last line without its end, as a killed process leaves it,
/// is passed over. Not thread-safe for one `history`.
Status AddLines(const std::string& text, History& history);

}  // namespace briarspread

#endif  // BRIARSPREAD_HISTORY_HISTORY_H_
