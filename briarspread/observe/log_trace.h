#ifndef BRIARSPREAD_OBSERVE_LOG_TRACE_H_
#define BRIARSPREAD_OBSERVE_LOG_TRACE_H_

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarspread {

/// One parsed log line.
struct LogLine {
  /// Milliseconds since the Unix epoch, by the clock of the instance.
  std::int64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// All fields, in the order of the line.
  nlohmann::ordered_json fields;
};

/// The contents of one or several logs.
struct CollectedLogs {
  std::vector<LogLine> lines;
  /// Number of lines that are not log lines of an instance.
  std::uint64_t skipped = 0;
};

/// Parses log lines and appends them to `logs`. Text before the first brace of
/// a line, such as a log collector's prefix, is ignored. Not thread-safe.
void ReadLogLines(std::istream& in, CollectedLogs& logs);

/// Returns the lines related to an id, from the logs of several instances,
/// ordered by time. These are the lines that name the id; the lines about the
/// whole job that one of those names; and, from shortly before the first of
/// them to the last, changes of state of their instances and deaths of their
/// upstreams. Thread-safe.
std::vector<LogLine> FindRelatedLines(const CollectedLogs& logs,
                                      const std::string& id);

/// Formats a line as readable text: milliseconds since `first_ms`, instance,
/// event, other fields. Thread-safe.
std::string FormatReadable(const LogLine& line, std::int64_t first_ms);

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_LOG_TRACE_H_
