#include "briarspread/contracts/recent_answers.h"

namespace briarspread {

void RecentAnswers::Record(Fingerprint request) {
  const TimePoint now = clock_.Now();
  last_[request] = now;
  order_.emplace_back(now, request);
  DropOld(now);
}

std::optional<TimePoint> RecentAnswers::Find(Fingerprint request) const {
  const auto it = last_.find(request);
  if (it == last_.end()) return std::nullopt;
  if (clock_.Now() - it->second > settings_.time) return std::nullopt;
  return it->second;
}

void RecentAnswers::DropOld(TimePoint now) {
  while (!order_.empty() && (now - order_.front().first > settings_.time ||
                             order_.size() > settings_.max_count)) {
    const auto& [time, request] = order_.front();
    const auto it = last_.find(request);
    if (it != last_.end() && it->second == time) last_.erase(it);
    order_.pop_front();
  }
}

}  // namespace briarspread
