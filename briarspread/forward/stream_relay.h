#ifndef BRIARSPREAD_FORWARD_STREAM_RELAY_H_
#define BRIARSPREAD_FORWARD_STREAM_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarspread/proxy/event_stream_reader.h"

namespace briarspread::forward {

/// Passes on the whole events of a stream that may go on at another upstream,
/// each once and in order. Not thread-safe.
class StreamRelay final {
 public:
  enum class Outcome {
    kFine,
    /// An event between the last one passed on and this one is missing.
    kGap,
    /// What comes is no event: it does not end.
    kOverlong,
  };

  /// `last_event_id` is the last event that the caller has already.
  explicit StreamRelay(std::optional<std::uint64_t> last_event_id);

  /// Takes bytes from the upstream and appends the events that they complete
  /// to `out`; those that the caller has are left out.
  Outcome Take(std::string_view bytes, std::string& out);
  /// The stream goes on at another upstream; part of an event is dropped.
  void Restart();
  /// Whether bytes of an event without its end are held.
  bool has_partial() const { return reader_.has_partial(); }
  /// The last event passed on.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

 private:
  std::optional<std::uint64_t> last_event_id_;
  proxy::EventStreamReader reader_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_STREAM_RELAY_H_
