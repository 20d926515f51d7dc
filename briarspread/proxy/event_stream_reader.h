#ifndef BRIARSPREAD_PROXY_EVENT_STREAM_READER_H_
#define BRIARSPREAD_PROXY_EVENT_STREAM_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"

namespace briarspread::proxy {

/// One whole event of a stream.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  /// The event's data lines, separated by line feeds.
  std::string data;
  bool has_data = false;
  /// The version of the weights from this event on, where it changes here.
  std::optional<WeightVersion> version;
  /// The bytes as they came, where the reader keeps them.
  std::string raw;
};

/// Cuts a `text/event-stream` into events. An event counts once its empty line
/// came; the rest of a stream that stops midway is no event. One that grows
/// beyond `kMaxEventBytes` is none, and ends the reading. Not thread-safe.
class EventStreamReader final {
 public:
  /// The bytes of one event at most, comments between events included.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

  /// `version_field` names the field that tells a change of version.
  /// `keeps_raw` fills `StreamEvent::raw`.
  explicit EventStreamReader(std::string version_field, bool keeps_raw = false);

  /// Takes bytes and returns the events that they complete. Nothing is taken
  /// once `is_overlong()`.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Drops what is held of an event; another stream follows.
  void Reset();
  /// Whether bytes of an event without its end are held.
  bool has_partial() const { return !line_.empty() || has_field_; }
  /// Whether an event grew beyond its bound.
  bool is_overlong() const { return event_bytes_ > kMaxEventBytes; }

 private:
  void TakeLine(std::vector<StreamEvent>& events);

  const std::string version_field_;
  const bool keeps_raw_;
  /// The line being read.
  std::string line_;
  StreamEvent event_;
  bool has_field_ = false;
  /// Bytes taken since the last whole event.
  std::size_t event_bytes_ = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_EVENT_STREAM_READER_H_
