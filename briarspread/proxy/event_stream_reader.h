#ifndef BRIARSPREAD_PROXY_EVENT_STREAM_READER_H_
#define BRIARSPREAD_PROXY_EVENT_STREAM_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"

namespace briarspread::proxy {

/// One complete event of an event stream.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  /// The event's data lines, separated by line feeds.
  std::string data;
  bool has_data = false;
  /// The weight version in force from this event on; set only where the version
  /// changes.
  std::optional<WeightVersion> version;
  /// The event's bytes as received; empty unless the reader was created with
  /// `keeps_raw`.
  std::string raw;
};

/// Splits a `text/event-stream` into events. An event is complete once its
/// terminating empty line was received; an incomplete event at the end of a
/// stream is never returned. An event larger than `kMaxEventBytes` is not
/// returned either, and stops the reader until `Reset`. Not thread-safe.
class EventStreamReader final {
 public:
  /// Maximum size of one event in bytes, including comments before the event.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

  /// `version_field` is the name of the event field that announces a new weight
  /// version. `keeps_raw` fills `StreamEvent::raw`.
  explicit EventStreamReader(std::string version_field, bool keeps_raw = false);

  /// Parses `bytes` and returns the events that they complete. Bytes are
  /// ignored once `is_overlong()`.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Discards the current partial event, so that another stream can be read.
  void Reset();
  /// Whether an incomplete event is buffered.
  bool has_partial() const { return !line_.empty() || has_field_; }
  /// Whether the current event exceeds `kMaxEventBytes`.
  bool is_overlong() const { return event_bytes_ > kMaxEventBytes; }

 private:
  void ProcessLine(std::vector<StreamEvent>& events);

  const std::string version_field_;
  const bool keeps_raw_;
  /// The current incomplete line.
  std::string line_;
  StreamEvent event_;
  bool has_field_ = false;
  /// Bytes read since the last complete event.
  std::size_t event_bytes_ = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_EVENT_STREAM_READER_H_
