#ifndef BRIARSPREAD_FORWARD_STREAM_RELAY_H_
#define BRIARSPREAD_FORWARD_STREAM_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarspread/proxy/event_stream_reader.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {

/// Extracts the whole events of a stream that may be resumed at another
/// upstream, so that each is passed on once and in order. Not thread-safe.
class StreamRelay final {
 public:
  enum class Outcome {
    kOk,
    /// At least one event is missing between the last one passed on and the
    /// next one received.
    kGap,
    /// An event is longer than `EventStreamReader::kMaxEventBytes`.
    kOverlong,
  };

  /// `last_event_id` is the id of the last event that the caller already has;
  /// unset where it has none.
  explicit StreamRelay(std::optional<std::uint64_t> last_event_id);

  /// Returns the head to pass on, made from that of the first upstream. It says
  /// nothing of that upstream's bytes, such as their length or a digest of
  /// them, because the body may go on with bytes of other upstreams.
  static proxy::ResponseHead HeadFrom(const proxy::ResponseHead& first);

  /// Reads bytes from the upstream and appends the events that they complete to
  /// `out`, except those that the caller already has.
  Outcome Feed(std::string_view bytes, std::string& out);
  /// Prepares for the stream's resumption at another upstream; drops an
  /// incomplete event.
  void Restart();
  /// Returns whether the bytes read end with an incomplete event.
  bool has_partial() const { return reader_.has_partial(); }
  /// Returns the id of the last event passed on, or that the caller had at the
  /// start.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

 private:
  std::optional<std::uint64_t> last_event_id_;
  proxy::EventStreamReader reader_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_STREAM_RELAY_H_
