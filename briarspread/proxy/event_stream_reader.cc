#include "briarspread/proxy/event_stream_reader.h"

#include <algorithm>
#include <utility>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

EventStreamReader::EventStreamReader(std::string version_field, bool keeps_raw)
    : version_field_(std::move(version_field)), keeps_raw_(keeps_raw) {}

std::vector<StreamEvent> EventStreamReader::Feed(std::string_view bytes) {
  std::vector<StreamEvent> events;
  while (!bytes.empty() && !is_overlong()) {
    const std::size_t end = bytes.find('\n');
    event_bytes_ += std::min(end, bytes.size());
    line_.append(bytes.substr(0, end));
    if (end == std::string_view::npos) break;
    bytes.remove_prefix(end + 1);
    if (keeps_raw_) event_.raw.append(line_).push_back('\n');
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    ProcessLine(events);
    line_.clear();
  }
  return events;
}

void EventStreamReader::Reset() {
  line_.clear();
  event_ = {};
  has_field_ = false;
  event_bytes_ = 0;
}

void EventStreamReader::ProcessLine(std::vector<StreamEvent>& events) {
  if (line_.empty()) {
    if (has_field_) {
      events.push_back(std::exchange(event_, {}));
      event_bytes_ = 0;
    }
    has_field_ = false;
    return;
  }
  // A line that begins with a colon is a comment.
  if (line_.front() == ':') return;
  has_field_ = true;
  const std::string_view line(line_);
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (name == "data") {
    if (event_.has_data) event_.data.push_back('\n');
    event_.has_data = true;
    event_.data.append(value);
  } else if (name == "id") {
    event_.id = ParseNumber(value);
  } else if (EqualsIgnoreCase(name, version_field_)) {
    const auto version = ParseNumber(value);
    if (version.has_value()) event_.version = WeightVersion(*version);
  }
}

}  // namespace briarspread::proxy
