#include "briarspread/contracts/suspect_table.h"

#include <algorithm>
#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

milliseconds AgeOf(TimePoint time, TimePoint now) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(now - time));
}

const InFlightRequest* FindIn(const std::vector<InFlightRequest>& in_flight,
                              Fingerprint fingerprint) {
  const auto it = std::find_if(
      in_flight.begin(), in_flight.end(),
      [fingerprint](const auto& w) { return w.fingerprint == fingerprint; });
  return it == in_flight.end() ? nullptr : &*it;
}

}  // namespace

SuspectTable::SuspectTable(SuspectSettings settings, ProcessId self,
                           const Clock& clock)
    : settings_(settings), self_(std::move(self)), clock_(clock) {}

/// Returns whether no instance reports another request in flight at the same
/// crash.
bool SuspectTable::IsOnlyInFlight(const StoredReport& report,
                                  Fingerprint fingerprint) const {
  for (const auto& [id, other] : reports_) {
    const auto distance = std::chrono::abs(other.time - report.time);
    if (other.upstream != report.upstream ||
        distance > settings_.same_crash_window) {
      continue;
    }
    for (const InFlightRequest& it : other.in_flight) {
      if (it.fingerprint != fingerprint) return false;
    }
  }
  return true;
}

SuspectTable::State SuspectTable::StateOf(Fingerprint fingerprint,
                                          TimePoint now) const {
  const auto cleared = cleared_.find(fingerprint);
  bool is_suspect = false;
  bool is_confirming = false;
  for (const auto& [id, report] : reports_) {
    const InFlightRequest* found = FindIn(report.in_flight, fingerprint);
    if (found == nullptr) continue;
    if (cleared != cleared_.end() && report.time <= cleared->second) continue;
    is_suspect = true;
    // A trial follows an earlier crash, so this is at least the second crash
    // with this request in flight.
    if (!found->is_trial || !IsOnlyInFlight(report, fingerprint)) continue;
    if (now - report.time >= settings_.confirm_delay) return State::kBlocked;
    is_confirming = true;
  }
  if (is_confirming) return State::kConfirming;
  return is_suspect ? State::kSuspect : State::kClean;
}

SuspectAdmission SuspectTable::Admit(Fingerprint fingerprint,
                                     bool is_trial_instance) {
  if (!has_reports_) return SuspectAdmission::kRunNormally;
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  switch (StateOf(fingerprint, now)) {
    case State::kClean:
      return SuspectAdmission::kRunNormally;
    case State::kBlocked:
      return SuspectAdmission::kRefuseForGood;
    case State::kConfirming:
      return SuspectAdmission::kRefuseForNow;
    case State::kSuspect:
      break;
  }
  if (!is_trial_instance) return SuspectAdmission::kForward;
  const bool is_busy =
      trials_.contains(fingerprint) || trials_.size() >= settings_.max_trials;
  if (is_busy) return SuspectAdmission::kRefuseForNow;
  trials_.emplace(fingerprint, now);
  return SuspectAdmission::kRunAlone;
}

Error SuspectTable::RefusalOf(SuspectAdmission admission) const {
  if (admission == SuspectAdmission::kRefuseForGood) {
    return Error{ErrorCode::kRefusedForGood, Verdict::kNotRun,
                 "requests with this body crash the upstreams that run them"};
  }
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "an upstream died while running this request; it is being "
               "tried alone",
               settings_.retry_after};
}

void SuspectTable::OnCrash(const UpstreamId& upstream,
                           const std::vector<Fingerprint>& in_flight) {
  if (in_flight.empty()) return;
  std::lock_guard lock(mutex_);
  StoredReport report{upstream, clock_.Now(), {}};
  for (const Fingerprint it : in_flight) {
    if (FindIn(report.in_flight, it) != nullptr) continue;
    report.in_flight.push_back({it, trials_.erase(it) > 0});
  }
  std::sort(report.in_flight.begin(), report.in_flight.end());
  reports_[{self_, ++last_report_}] = std::move(report);
  EvictOld(clock_.Now());
}

void SuspectTable::EndTrial(Fingerprint fingerprint, bool is_answered) {
  std::lock_guard lock(mutex_);
  const auto it = trials_.find(fingerprint);
  if (it == trials_.end()) return;
  if (is_answered) cleared_[fingerprint] = it->second;
  trials_.erase(it);
  EvictOld(clock_.Now());
}

std::size_t SuspectTable::CountCrashes(Fingerprint fingerprint) const {
  std::lock_guard lock(mutex_);
  const auto cleared = cleared_.find(fingerprint);
  std::vector<const StoredReport*> crashes;
  for (const auto& [id, report] : reports_) {
    if (FindIn(report.in_flight, fingerprint) == nullptr) continue;
    if (cleared != cleared_.end() && report.time <= cleared->second) continue;
    const StoredReport& crash = report;
    const bool is_known = std::any_of(
        crashes.begin(), crashes.end(), [&](const StoredReport* other) {
          return other->upstream == crash.upstream &&
                 std::chrono::abs(other->time - crash.time) <=
                     settings_.same_crash_window;
        });
    if (!is_known) crashes.push_back(&report);
  }
  return crashes.size();
}

std::size_t SuspectTable::report_count() const {
  std::lock_guard lock(mutex_);
  return reports_.size();
}

void SuspectTable::Clear(Fingerprint fingerprint) {
  std::lock_guard lock(mutex_);
  const bool is_suspect =
      std::any_of(reports_.begin(), reports_.end(), [&](const auto& it) {
        return FindIn(it.second.in_flight, fingerprint) != nullptr;
      });
  if (is_suspect) cleared_[fingerprint] = clock_.Now();
  EvictOld(clock_.Now());
}

void SuspectTable::EvictOld(TimePoint now) {
  const TimePoint oldest = now - settings_.time_to_live;
  std::erase_if(reports_,
                [oldest](const auto& it) { return it.second.time < oldest; });
  std::erase_if(cleared_,
                [oldest](const auto& it) { return it.second < oldest; });
  while (reports_.size() > settings_.max_reports) {
    reports_.erase(std::min_element(reports_.begin(), reports_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.time < b.second.time;
                                    }));
  }
  while (cleared_.size() > settings_.max_clearances) {
    cleared_.erase(std::min_element(
        cleared_.begin(), cleared_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  has_reports_ = !reports_.empty();
}

SuspectDigest SuspectTable::Digest(std::size_t limit) const {
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  SuspectDigest digest;
  for (const auto& [id, it] : reports_) {
    digest.reports.push_back(
        {id, it.upstream, AgeOf(it.time, now), it.in_flight});
  }
  for (const auto& [fingerprint, time] : cleared_) {
    digest.clearances.push_back({fingerprint, AgeOf(time, now)});
  }
  const auto keep_newest = [limit](auto& list) {
    std::stable_sort(
        list.begin(), list.end(),
        [](const auto& a, const auto& b) { return a.age < b.age; });
    if (list.size() > limit) list.resize(limit);
  };
  keep_newest(digest.reports);
  keep_newest(digest.clearances);
  return digest;
}

void SuspectTable::Merge(const SuspectDigest& digest) {
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  for (const CrashReport& it : digest.reports) {
    reports_.try_emplace(it.id,
                         StoredReport{it.upstream, now - it.age, it.in_flight});
  }
  for (const Clearance& it : digest.clearances) {
    TimePoint& time = cleared_[it.fingerprint];
    time = std::max(time, now - it.age);
  }
  EvictOld(now);
}

bool SuspectTable::IsSuspect(Fingerprint fingerprint) const {
  std::lock_guard lock(mutex_);
  return StateOf(fingerprint, clock_.Now()) != State::kClean;
}

bool SuspectTable::IsBlocked(Fingerprint fingerprint) const {
  std::lock_guard lock(mutex_);
  return StateOf(fingerprint, clock_.Now()) == State::kBlocked;
}

InstanceId SelectTrialInstance(Fingerprint fingerprint,
                               const std::vector<InstanceId>& instances) {
  std::vector<std::string> names;
  names.reserve(instances.size());
  for (const InstanceId& it : instances) names.push_back(it.value());
  return instances[RendezvousFirst(std::to_string(fingerprint.value()), names)];
}

}  // namespace briarspread
