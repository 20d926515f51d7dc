#include "briarspread/forward/upstream_limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace briarspread::forward {

std::optional<RequestRate> ParseRequestRate(const std::string& text) {
  double rate = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, ec] =
      std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  if (ec != std::errc{} || parsed != end || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return RequestRate(rate);
}

UpstreamLimits::Change UpstreamLimits::Name(const UpstreamStart& start,
                                            RequestRate rate) {
  const auto [it, is_new] = limits_.try_emplace(start.id);
  Limit& limit = it->second;
  if (!is_new && start.start_id < limit.start_id) return Change::kNone;
  const bool is_first = is_new || limit.start_id != start.start_id;
  const bool is_change = is_first || limit.rate != rate;
  limit = Limit{start.start_id, rate, clock_.Now()};
  if (limits_.size() > settings_.max_count) {
    limits_.erase(std::min_element(
        limits_.begin(), limits_.end(), [](const auto& a, const auto& b) {
          return a.second.confirmed < b.second.confirmed;
        }));
  }
  if (is_first) return Change::kNamed;
  return is_change ? Change::kChanged : Change::kNone;
}

UpstreamLimits::Change UpstreamLimits::End(const UpstreamStart& start) {
  const auto it = limits_.find(start.id);
  if (it == limits_.end() || start.start_id < it->second.start_id) {
    return Change::kNone;
  }
  limits_.erase(it);
  return Change::kEnded;
}

UpstreamLimits::Change UpstreamLimits::RecordResponse(
    const UpstreamStart& start, std::optional<RequestRate> named,
    TimePoint sent) {
  if (named.has_value()) return Name(start, *named);
  const auto it = limits_.find(start.id);
  if (it == limits_.end() || sent <= it->second.confirmed) return Change::kNone;
  return End(start);
}

UpstreamLimits::Change UpstreamLimits::RecordPeerNotice(
    const UpstreamStart& start, std::optional<RequestRate> named) {
  return named.has_value() ? Name(start, *named) : End(start);
}

std::optional<RequestRate> UpstreamLimits::Find(const UpstreamId& id) const {
  const auto it = limits_.find(id);
  if (it == limits_.end()) return std::nullopt;
  return it->second.rate;
}

std::optional<LimitNotice> UpstreamLimits::FindNotice(
    const UpstreamId& id) const {
  const auto it = limits_.find(id);
  if (it == limits_.end()) return std::nullopt;
  return LimitNotice{{id, it->second.start_id}, it->second.rate};
}

std::vector<LimitNotice> UpstreamLimits::All() const {
  std::vector<LimitNotice> all;
  for (const auto& [id, limit] : limits_) {
    all.push_back({{id, limit.start_id}, limit.rate});
  }
  return all;
}

void UpstreamLimits::DropOld() {
  const TimePoint oldest = clock_.Now() - settings_.retention;
  std::erase_if(limits_, [oldest](const auto& entry) {
    return entry.second.confirmed < oldest;
  });
}

}  // namespace briarspread::forward
