#include "briarspread/forward/stream_origins.h"

namespace briarspread::forward {

void LocalStreamOrigins::Record(const AttemptId& attempt,
                                const SoftwareVersion& software) {
  const TimePoint now = clock_.Now();
  // The first record stands: the id names one attempt, which began once.
  if (software_.emplace(attempt, software).second) {
    order_.push_back({attempt, now});
  }
  while (order_.size() > settings_.max_count ||
         order_.front().at < now - settings_.retention) {
    software_.erase(order_.front().attempt);
    order_.pop_front();
  }
}

std::optional<SoftwareVersion> LocalStreamOrigins::Lookup(
    const AttemptId& attempt) const {
  const auto it = software_.find(attempt);
  if (it == software_.end()) return std::nullopt;
  return it->second;
}

}  // namespace briarspread::forward
