#include "briarspread/observe/json_log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::ordered_json;

/// Removes one `key=value` pair from the front of `rest` and returns it;
/// returns nothing if there is none.
std::optional<std::pair<std::string, std::string>> TakeField(
    std::string_view& rest) {
  const std::size_t equals = rest.find('=');
  if (equals == 0 || equals == std::string_view::npos) return std::nullopt;
  const std::string_view key = rest.substr(0, equals);
  if (key.find(' ') != std::string_view::npos) return std::nullopt;
  rest.remove_prefix(equals + 1);
  const bool is_quoted = !rest.empty() && rest.front() == '"';
  if (is_quoted) rest.remove_prefix(1);
  const std::size_t end =
      std::min(rest.find(is_quoted ? '"' : ' '), rest.size());
  const std::string value(rest.substr(0, end));
  rest.remove_prefix(end);
  if (is_quoted && !rest.empty()) rest.remove_prefix(1);
  while (!rest.empty() && rest.front() == ' ') rest.remove_prefix(1);
  return std::make_pair(std::string(key), value);
}

}  // namespace

std::string FormatLogLine(WallTime time, std::string_view severity,
                          std::string_view instance, std::string_view message) {
  Json line;
  line["time_ms"] =
      std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
  line["level"] = severity;
  line["instance"] = instance;
  std::string_view rest = message;
  while (!rest.empty()) {
    const auto field = TakeField(rest);
    if (!field.has_value()) {
      line["message"] = rest;
      break;
    }
    line[field->first] = field->second;
  }
  return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

JsonLogSink::JsonLogSink(int fd, std::string instance,
                         const JsonLogSettings& settings, const Clock& clock)
    : fd_(fd),
      instance_(std::move(instance)),
      settings_(settings),
      clock_(clock),
      tokens_(settings.burst),
      last_refill_(clock.Now()) {
  const int flags = fcntl(fd, F_GETFL);
  if (flags >= 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

JsonLogSink::~JsonLogSink() {
  google::RemoveLogSink(this);
  Flush();
}

void JsonLogSink::send(google::LogSeverity severity, const char*, const char*,
                       int, const tm*, const char* message,
                       std::size_t message_len) {
  const std::string_view text(message, message_len);
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  const double elapsed = SecondsOf(now - last_refill_);
  last_refill_ = now;
  tokens_ =
      std::min(settings_.burst, tokens_ + elapsed * settings_.lines_per_second);
  const double reserved =
      severity >= google::GLOG_WARNING ? 0 : settings_.reserved_for_failures;
  if (tokens_ < 1 + reserved || buffer_.size() > settings_.max_buffered_bytes) {
    ++dropped_;
    return;
  }
  tokens_ -= 1;
  if (dropped_ > dropped_reported_) {
    buffer_ += FormatLogLine(
        clock_.WallNow(), "WARNING", instance_,
        "event=log_lines_dropped total=" + std::to_string(dropped_));
    dropped_reported_ = dropped_;
  }
  buffer_ += FormatLogLine(
      clock_.WallNow(), google::GetLogSeverityName(severity), instance_, text);
  FlushLocked();
}

void JsonLogSink::Flush() {
  const std::lock_guard lock(mutex_);
  FlushLocked();
}

void JsonLogSink::FlushLocked() {
  while (!buffer_.empty()) {
    const ssize_t n = write(fd_, buffer_.data(), buffer_.size());
    // Bytes that cannot be written now are retried at the next line or `Flush`.
    if (n <= 0) return;
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

std::uint64_t JsonLogSink::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void RouteLogsTo(JsonLogSink& sink) {
  for (int i = 0; i < google::NUM_SEVERITIES; ++i) {
    google::SetLogDestination(i, "");
  }
  google::SetStderrLogging(google::GLOG_FATAL);
  google::AddLogSink(&sink);
}

}  // namespace briarspread
