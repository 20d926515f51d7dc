#ifndef BRIARSPREAD_OBSERVE_JSON_LOG_SINK_H_
#define BRIARSPREAD_OBSERVE_JSON_LOG_SINK_H_

#include <glog/logging.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Limits on log output.
struct JsonLogSettings {
  /// Sustained rate in lines per second, and maximum number of lines in a
  /// burst.
  double lines_per_second = 100;
  double burst = 400;
  /// Part of the burst reserved for warnings and errors, so that informational
  /// lines are dropped first.
  double reserved_for_failures = 100;
  /// Maximum size of the buffer for lines that standard output does not accept
  /// yet; further lines are dropped.
  std::size_t max_buffered_bytes = std::size_t{256} * 1024;
};

/// Writes log lines to a file descriptor, one JSON object per line. A message
/// of the form `event=NAME key=value key="some words"` becomes an object of
/// these fields; the rest of a message that has another form becomes the field
/// `message`. Never blocks: lines above the limits are dropped and counted.
/// Thread-safe.
class JsonLogSink final : public google::LogSink {
 public:
  /// Writes to `fd`, which is set to non-blocking mode. Precondition: `clock`
  /// outlives this object.
  JsonLogSink(int fd, std::string instance, const JsonLogSettings& settings,
              const Clock& clock);
  ~JsonLogSink() override;
  JsonLogSink(const JsonLogSink&) = delete;
  JsonLogSink& operator=(const JsonLogSink&) = delete;

  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line, const tm* tm_time,
            const char* message, std::size_t message_len) override;

  /// Writes buffered lines as far as possible without blocking. Must be called
  /// periodically, as a partial write is otherwise continued only by the next
  /// line.
  void Flush();
  std::uint64_t dropped() const;

 private:
  void FlushLocked();

  const int fd_;
  const std::string instance_;
  const JsonLogSettings settings_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::string buffer_;
  double tokens_;
  TimePoint last_refill_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

/// Formats a log message as a line of JSON; see `JsonLogSink`. Thread-safe.
std::string FormatLogLine(WallTime time, std::string_view severity,
                          std::string_view instance, std::string_view message);

/// Sends all log lines of this process to `sink` instead of log files. Fatal
/// ones also go to standard error.
void RouteLogsTo(JsonLogSink& sink);

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_JSON_LOG_SINK_H_
