#include "briarspread/membership/failure_detector.h"

namespace briarspread {

FailureDetector::FailureDetector(const FailureDetectorSettings& settings,
                                 const Clock& clock)
    : settings_(settings), clock_(clock) {}

void FailureDetector::OnProbeSent(const InstanceId& id,
                                  std::uint64_t sequence) {
  Outstanding& probe = outstanding_[id];
  if (probe.probes == 0) probe.first_sequence = sequence;
  probe.last_sequence = sequence;
  probe.sent_at = clock_.Now();
  ++probe.probes;
}

bool FailureDetector::OnAcknowledged(const InstanceId& id,
                                     std::uint64_t sequence) {
  const auto it = outstanding_.find(id);
  if (it == outstanding_.end()) return false;
  if (sequence < it->second.first_sequence) return false;
  if (sequence > it->second.last_sequence) return false;
  outstanding_.erase(it);
  return true;
}

FailureDetector::Overdue FailureDetector::TakeOverdue() {
  const TimePoint now = clock_.Now();
  Overdue overdue;
  for (auto it = outstanding_.begin(); it != outstanding_.end();) {
    const Outstanding& probe = it->second;
    if (now - probe.sent_at < settings_.probe_timeout) {
      ++it;
      continue;
    }
    if (probe.probes == settings_.probes) overdue.failed.push_back(it->first);
    if (probe.probes < settings_.max_probes) {
      overdue.retry.push_back(it->first);
      ++it;
    } else {
      it = outstanding_.erase(it);
    }
  }
  return overdue;
}

}  // namespace briarspread
