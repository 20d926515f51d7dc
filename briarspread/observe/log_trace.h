#ifndef BRIARSPREAD_OBSERVE_LOG_TRACE_H_
#define BRIARSPREAD_OBSERVE_LOG_TRACE_H_

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarspread {

/// One line of a log, read.
struct LogLine {
  /// The time of day in milliseconds, by the clock of the instance.
  std::int64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// All fields, in their order.
  nlohmann::ordered_json fields;
};

/// What was read of a log.
struct CollectedLogs {
  std::vector<LogLine> lines;
  /// Lines that are no log lines of an instance.
  std::uint64_t skipped = 0;
};

/// Reads log lines and adds them to `logs`. Text before the first brace of a
/// line, as collectors put it there, is left out. Not thread-safe.
void ReadLogLines(std::istream& in, CollectedLogs& logs);

/// The way of an id through the logs of several instances: all lines that name
/// it, the lines of the job that an item belongs to, and, from shortly before,
/// those of the state of its instances and of its upstreams' deaths; in the
/// order of time. Thread-safe.
std::vector<LogLine> FollowId(const CollectedLogs& logs, const std::string& id);

/// A line for people: time since the first line, instance, event, fields.
/// Thread-safe.
std::string FormatForPeople(const LogLine& line, std::int64_t first_ms);

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_LOG_TRACE_H_
