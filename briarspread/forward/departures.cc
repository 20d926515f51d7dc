#include "briarspread/forward/departures.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace briarspread::forward {

using Json = nlohmann::json;

bool Departures::Record(const UpstreamStart& start) {
  if (HasLeft(start)) return false;
  departures_[start.id] = Departure{start.start_id, clock_.Now()};
  if (departures_.size() > settings_.max_count) {
    const auto oldest =
        std::min_element(departures_.begin(), departures_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.recorded_at < b.second.recorded_at;
                         });
    departures_.erase(oldest);
  }
  return true;
}

bool Departures::HasLeft(const UpstreamStart& start) const {
  const auto it = departures_.find(start.id);
  return it != departures_.end() && start.start_id <= it->second.start_id;
}

void Departures::DropOld() {
  const TimePoint oldest = clock_.Now() - settings_.retention;
  std::erase_if(departures_, [oldest](const auto& entry) {
    return entry.second.recorded_at < oldest;
  });
}

std::vector<UpstreamStart> Departures::All() const {
  std::vector<UpstreamStart> all;
  for (const auto& [id, departure] : departures_) {
    all.push_back({id, departure.start_id});
  }
  return all;
}

std::string EncodeUpstreamStarts(const std::vector<UpstreamStart>& starts) {
  Json list = Json::array();
  for (const UpstreamStart& start : starts) {
    list.push_back({{"id", start.id.value()}, {"start", start.start_id}});
  }
  return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::vector<UpstreamStart>> ParseUpstreamStarts(
    const std::string& text) {
  const Json list = Json::parse(text, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  try {
    std::vector<UpstreamStart> starts;
    for (const Json& each : list) {
      starts.push_back({UpstreamId(each.at("id").get<std::string>()),
                        each.at("start").get<std::uint64_t>()});
    }
    return starts;
  } catch (const Json::exception&) {
    // Malformed text; the caller logs it.
    return std::nullopt;
  }
}

}  // namespace briarspread::forward
