#include "briarspread/forward/direct_paths.h"

#include <algorithm>
#include <set>

namespace briarspread::forward {

void DirectPaths::RecordConnected(const Endpoint& to) {
  failed_.erase(to);
  last_connected_ = clock_.Now();
  suspected_since_.reset();
  failed_trials_ = 0;
}

void DirectPaths::RecordNotConnected(const Endpoint& to) {
  const TimePoint now = clock_.Now();
  Failure& failure = failed_.try_emplace(to).first->second;
  failure.since = now;
  if (suspected_since_.has_value()) return;
  // A connection that was established a moment ago speaks for the links.
  if (now - last_connected_ < settings_.silence_to_try) return;
  const auto recent =
      std::count_if(failed_.begin(), failed_.end(), [this](const auto& entry) {
        return entry.second.since > last_connected_;
      });
  if (static_cast<std::size_t>(recent) < settings_.failures_to_suspect) return;
  suspected_since_ = now;
  failed_trials_ = 0;
}

void DirectPaths::RecordReachedByPeer(const Endpoint& to) {
  const auto it = failed_.find(to);
  if (it != failed_.end()) it->second.is_reached_by_peer = true;
}

void DirectPaths::RecordFailedTrial() {
  if (IsSuspected()) ++failed_trials_;
}

void DirectPaths::Retain(const std::vector<TrialCandidate>& candidates) {
  std::set<Endpoint> known;
  for (const TrialCandidate& each : candidates) known.insert(each.endpoint);
  std::erase_if(failed_, [&known](const auto& entry) {
    return !known.contains(entry.first);
  });
  if (failed_.empty()) suspected_since_.reset();
}

bool DirectPaths::IsSuspected() const { return suspected_since_.has_value(); }

bool DirectPaths::IsLost() const {
  return IsSuspected() && failed_trials_ >= settings_.trials_to_lose;
}

bool DirectPaths::ShouldRelay(const Endpoint& to) const {
  if (IsSuspected()) return true;
  const auto it = failed_.find(to);
  return it != failed_.end() && it->second.is_reached_by_peer;
}

bool DirectPaths::DoOpenConnectionsWork() const {
  return !IsSuspected() || last_response_ > *suspected_since_;
}

TimePoint DirectPaths::LatestFailure() const {
  TimePoint latest{};
  for (const auto& [endpoint, failure] : failed_) {
    latest = std::max(latest, failure.since);
  }
  return latest;
}

std::optional<Endpoint> DirectPaths::OldestFailedTrial(
    const std::vector<TrialCandidate>& candidates) const {
  std::optional<Endpoint> oldest;
  TimePoint oldest_trial{};
  for (const TrialCandidate& each : candidates) {
    const auto it = failed_.find(each.endpoint);
    if (it == failed_.end()) continue;
    if (!IsSuspected() && !it->second.is_reached_by_peer) continue;
    if (oldest.has_value() && it->second.last_trial >= oldest_trial) continue;
    oldest = each.endpoint;
    oldest_trial = it->second.last_trial;
  }
  return oldest;
}

std::optional<Endpoint> DirectPaths::FindUntried(
    const std::vector<TrialCandidate>& candidates) const {
  std::set<ServiceName> failing;
  for (const TrialCandidate& each : candidates) {
    if (failed_.contains(each.endpoint)) failing.insert(each.service);
  }
  std::optional<Endpoint> untried;
  for (const TrialCandidate& each : candidates) {
    if (failed_.contains(each.endpoint)) continue;
    if (!failing.contains(each.service)) return each.endpoint;
    if (!untried.has_value()) untried = each.endpoint;
  }
  return untried;
}

std::optional<Endpoint> DirectPaths::NextTrial(
    const std::vector<TrialCandidate>& candidates) {
  if (failed_.empty()) return std::nullopt;
  const TimePoint now = clock_.Now();
  const bool is_unclear = last_connected_ < LatestFailure() &&
                          now - last_response_ >= settings_.silence_to_try;
  std::optional<Endpoint> trial;
  if (IsSuspected() ? !IsLost() : is_unclear) trial = FindUntried(candidates);
  if (!trial.has_value()) trial = OldestFailedTrial(candidates);
  if (trial.has_value() && failed_.contains(*trial)) {
    failed_.at(*trial).last_trial = now;
  }
  return trial;
}

}  // namespace briarspread::forward
