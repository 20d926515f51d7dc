#include "briarspread/forward/stream_relay.h"

#include <array>

namespace briarspread::forward {
namespace {

/// Headers that describe the bytes of a body.
constexpr std::array<const char*, 9> kBodyHeaders{
    "Content-Length", "Content-MD5", "Content-Digest",
    "Repr-Digest",    "Digest",      "Content-Range",
    "Accept-Ranges",  "ETag",        "Trailer"};

proxy::EventStreamReader MakeRawReader() {
  // Version fields are passed on to the caller and not evaluated here.
  return proxy::EventStreamReader("", true);
}

}  // namespace

StreamRelay::StreamRelay(std::optional<std::uint64_t> last_event_id)
    : last_event_id_(last_event_id), reader_(MakeRawReader()) {}

proxy::ResponseHead StreamRelay::HeadFrom(const proxy::ResponseHead& first) {
  proxy::ResponseHead head = first;
  for (const char* name : kBodyHeaders) head.headers.Remove(name);
  return head;
}

void StreamRelay::Restart() { reader_.Reset(); }

StreamRelay::Outcome StreamRelay::Feed(std::string_view bytes,
                                       std::string& out) {
  for (const proxy::StreamEvent& event : reader_.Feed(bytes)) {
    if (event.id.has_value() && last_event_id_.has_value()) {
      if (*event.id <= *last_event_id_) continue;
      if (*event.id != *last_event_id_ + 1) return Outcome::kGap;
    }
    if (event.id.has_value()) last_event_id_ = event.id;
    out += event.raw;
  }
  return reader_.is_overlong() ? Outcome::kOverlong : Outcome::kOk;
}

}  // namespace briarspread::forward
