#ifndef BRIARSPREAD_OBSERVE_JSON_LOG_SINK_H_
#define BRIARSPREAD_OBSERVE_JSON_LOG_SINK_H_

#include <glog/logging.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Bounds on log lines.
struct JsonLogSettings {
  /// Lines a second, and at once.
  double lines_per_second = 100;
  double burst = 400;
  /// Of these, kept for warnings and errors, so that lines of what went well
  /// are dropped first.
  double kept_for_failures = 100;
  /// Bytes held while standard output takes none.
  std::size_t max_held_bytes = std::size_t{256} * 1024;
};

/// Writes log lines to standard output, one JSON object a line. A message of
/// the form `event=NAME key=value key="some words"` becomes an object of these
/// fields. Never blocks: beyond its bounds lines are dropped and counted.
/// Thread-safe.
class JsonLogSink final : public google::LogSink {
 public:
  /// Writes to `fd`, which is made non-blocking. Precondition: `clock` outlives
  /// this object.
  JsonLogSink(int fd, std::string instance, const JsonLogSettings& settings,
              const Clock& clock);
  ~JsonLogSink() override;
  JsonLogSink(const JsonLogSink&) = delete;
  JsonLogSink& operator=(const JsonLogSink&) = delete;

  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line, const tm* tm_time,
            const char* message, std::size_t message_len) override;

  /// Writes what is held, as far as that does not block. To be called now and
  /// then.
  void Flush();
  std::uint64_t dropped() const;

 private:
  void FlushLocked();

  const int fd_;
  const std::string instance_;
  const JsonLogSettings settings_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::string held_;
  double tokens_;
  TimePoint refilled_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

/// The JSON text of a log message; see `JsonLogSink`. Thread-safe.
std::string FormatLogLine(WallTime time, std::string_view severity,
                          std::string_view instance, std::string_view message);

/// Sends all log lines of this process to `sink` only.
void RouteLogsTo(JsonLogSink& sink);

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_JSON_LOG_SINK_H_
