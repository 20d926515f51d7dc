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

/// Removes the oldest entries of `times` until it has at most `limit`.
template <typename Key>
void KeepNewest(std::map<Key, TimePoint>& times, std::size_t limit) {
  while (times.size() > limit) {
    times.erase(std::min_element(
        times.begin(), times.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

}  // namespace

SuspectTable::SuspectTable(const SuspectSettings& settings, InstanceId self,
                           const Clock& clock)
    : settings_(settings),
      self_(std::move(self)),
      clock_(clock),
      answers_(settings.recent_answers, clock) {}

// --- Convictions

std::vector<const SuspectTable::Crash*> SuspectTable::Independent(
    const Suspect& suspect) const {
  std::vector<const Crash*> chain;
  for (const Crash& crash : suspect.crashes) {
    if (!chain.empty()) {
      const Crash& last = *chain.back();
      const Duration margin = crash.reporter == last.reporter
                                  ? Duration(0)
                                  : Duration(settings_.transfer_margin);
      if (crash.sent < last.broke + margin) continue;
    }
    chain.push_back(&crash);
  }
  return chain;
}

std::size_t SuspectTable::CountCrashes(Fingerprint request) const {
  const auto it = suspects_.find(request);
  return it == suspects_.end() ? 0 : Independent(it->second).size();
}

bool SuspectTable::IsConvicted(const Suspect& suspect) const {
  return suspect.crashes.size() >= settings_.max_crashes &&
         Independent(suspect).size() >= settings_.max_crashes;
}

std::size_t SuspectTable::refused_count() const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [this](const auto& it) { return IsConvicted(it.second); }));
}

std::size_t SuspectTable::crash_count() const {
  std::set<UpstreamId> upstreams;
  for (const auto& [request, suspect] : suspects_) {
    for (const Crash& it : suspect.crashes) upstreams.insert(it.upstream);
  }
  return upstreams.size();
}

TimePoint SuspectTable::NextTrial(const Suspect& suspect) const {
  milliseconds delay = settings_.first_trial_delay;
  for (std::uint32_t i = 0; i < suspect.trials; ++i) {
    delay *= settings_.trial_delay_factor;
  }
  return std::max(suspect.crashes.back().broke, suspect.last_trial) + delay;
}

SuspectAdmission SuspectTable::Decide(Fingerprint request) const {
  const auto it = suspects_.find(request);
  if (it == suspects_.end() || !IsConvicted(it->second)) {
    return SuspectAdmission::kRun;
  }
  const Suspect& suspect = it->second;
  const bool is_due = suspect.trials < settings_.max_trials &&
                      clock_.Now() >= NextTrial(suspect);
  return is_due ? SuspectAdmission::kTryOnce : SuspectAdmission::kRefuse;
}

std::optional<Duration> SuspectTable::TimeUntilTrial(
    Fingerprint request) const {
  const auto it = suspects_.find(request);
  if (it == suspects_.end() || !IsConvicted(it->second) ||
      it->second.trials >= settings_.max_trials) {
    return std::nullopt;
  }
  return std::max(Duration(0), NextTrial(it->second) - clock_.Now());
}

bool SuspectTable::StartTrial(Fingerprint request) {
  if (Decide(request) != SuspectAdmission::kTryOnce) return false;
  Suspect& suspect = suspects_.at(request);
  ++suspect.trials;
  suspect.last_trial = clock_.Now();
  Publish(request);
  if (on_conviction_changed_) on_conviction_changed_(request);
  return true;
}

// --- Evidence

void SuspectTable::RecordCrash(const UpstreamId& upstream,
                               const std::vector<BrokenRequest>& in_flight) {
  for (const BrokenRequest& it : in_flight) {
    if (Add(it.fingerprint, Crash{upstream, self_, it.sent, it.broke})) {
      Publish(it.fingerprint);
    }
  }
  DropOld();
}

bool SuspectTable::Add(Fingerprint request, const Crash& crash) {
  const auto retracted = retracted_.find(crash.upstream);
  if (retracted != retracted_.end() && crash.broke <= retracted->second) {
    return false;
  }
  if (const auto answered = answers_.Find(request)) {
    if (*answered >= crash.broke && Clear(request, *answered)) Publish(request);
  }
  const auto cleared = cleared_.find(request);
  if (cleared != cleared_.end() && crash.broke <= cleared->second) return false;
  Suspect& suspect = suspects_[request];
  const bool was_convicted = IsConvicted(suspect);
  std::vector<Crash>& crashes = suspect.crashes;
  const auto known = std::find_if(
      crashes.begin(), crashes.end(),
      [&crash](const Crash& it) { return it.upstream == crash.upstream; });
  if (known != crashes.end()) {
    // The one sent last was the closest to the end.
    if (crash.sent <= known->sent) return false;
    crashes.erase(known);
  }
  const auto place = std::upper_bound(
      crashes.begin(), crashes.end(), crash,
      [](const Crash& a, const Crash& b) { return a.broke < b.broke; });
  crashes.insert(place, crash);
  Trim(suspect);
  NotifyIfChanged(request, was_convicted);
  return true;
}

void SuspectTable::NotifyIfChanged(Fingerprint request, bool was_convicted) {
  if (IsRefused(request) == was_convicted) return;
  if (on_conviction_changed_) on_conviction_changed_(request);
}

void SuspectTable::Trim(Suspect& suspect) const {
  if (suspect.crashes.size() <= settings_.max_crashes_held) return;
  const std::vector<const Crash*> chain = Independent(suspect);
  const auto is_in_chain = [&chain](const Crash& it) {
    return std::find(chain.begin(), chain.end(), &it) != chain.end();
  };
  const auto extra = std::find_if_not(suspect.crashes.begin(),
                                      suspect.crashes.end(), is_in_chain);
  suspect.crashes.erase(extra == suspect.crashes.end() ? suspect.crashes.begin()
                                                       : extra);
}

void SuspectTable::RetractCrash(const UpstreamId& upstream) {
  retracted_[upstream] = clock_.Now();
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    auto& [request, suspect] = *it;
    const bool was_convicted = IsConvicted(suspect);
    std::erase_if(suspect.crashes, [&upstream](const Crash& crash) {
      return crash.upstream == upstream;
    });
    const Fingerprint changed = request;
    it = suspect.crashes.empty() ? suspects_.erase(it) : std::next(it);
    NotifyIfChanged(changed, was_convicted);
  }
  KeepNewest(retracted_, settings_.max_clearances);
}

void SuspectTable::RecordAnswer(Fingerprint request) {
  answers_.Record(request);
  if (!suspects_.contains(request)) return;
  if (Clear(request, clock_.Now())) Publish(request);
  DropOld();
}

bool SuspectTable::Clear(Fingerprint request, TimePoint time) {
  const auto [cleared, is_new] = cleared_.try_emplace(request, time);
  if (!is_new && cleared->second >= time) return false;
  cleared->second = time;
  const auto it = suspects_.find(request);
  if (it == suspects_.end()) return true;
  Suspect& suspect = it->second;
  const bool was_convicted = IsConvicted(suspect);
  std::erase_if(suspect.crashes,
                [time](const Crash& crash) { return crash.broke <= time; });
  const bool is_convicted = !suspect.crashes.empty() && IsConvicted(suspect);
  if (!is_convicted) {
    suspect.trials = 0;
    suspect.last_trial = {};
  }
  if (suspect.crashes.empty()) suspects_.erase(it);
  NotifyIfChanged(request, was_convicted);
  return true;
}

void SuspectTable::DropOld() {
  const TimePoint now = clock_.Now();
  std::erase_if(suspects_, [&](const auto& it) {
    return now - it.second.crashes.back().broke > settings_.time_to_live;
  });
  std::erase_if(cleared_, [&](const auto& it) {
    return now - it.second > settings_.clearance_time;
  });
  KeepNewest(cleared_, settings_.max_clearances);
  while (suspects_.size() > settings_.max_suspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [this](const auto& a, const auto& b) {
          return std::make_pair(IsConvicted(a.second),
                                a.second.crashes.back().broke) <
                 std::make_pair(IsConvicted(b.second),
                                b.second.crashes.back().broke);
        }));
  }
}

// --- Exchange with other instances

void SuspectTable::Publish(Fingerprint request) {
  unpublished_.insert(request);
  if (on_unpublished_) on_unpublished_();
}

SuspectDigest SuspectTable::DigestOf(
    const std::vector<Fingerprint>& requests) const {
  const TimePoint now = clock_.Now();
  SuspectDigest digest;
  std::map<std::pair<InstanceId, UpstreamId>, CrashReport> reports;
  for (const Fingerprint request : requests) {
    const auto cleared = cleared_.find(request);
    if (cleared != cleared_.end()) {
      digest.clearances.push_back({request, AgeOf(cleared->second, now)});
    }
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end()) continue;
    if (suspect->second.trials > 0) {
      digest.trials.push_back({request, suspect->second.trials,
                               AgeOf(suspect->second.last_trial, now)});
    }
    for (const Crash& it : suspect->second.crashes) {
      const std::pair key(it.reporter, it.upstream);
      const bool is_full = reports.size() >= settings_.max_reports;
      if (is_full && !reports.contains(key)) continue;
      CrashReport& report = reports[key];
      report.reporter = it.reporter;
      report.upstream = it.upstream;
      report.in_flight.push_back(
          {request, AgeOf(it.sent, now), AgeOf(it.broke, now)});
    }
  }
  for (auto& [key, report] : reports) {
    digest.reports.push_back(std::move(report));
  }
  return digest;
}

std::vector<Fingerprint> SuspectTable::SuspectsByWeight() const {
  std::vector<Fingerprint> requests;
  for (const auto& [request, suspect] : suspects_) requests.push_back(request);
  std::stable_partition(
      requests.begin(), requests.end(),
      [this](Fingerprint it) { return IsConvicted(suspects_.at(it)); });
  return requests;
}

SuspectDigest SuspectTable::All() const {
  std::vector<Fingerprint> requests = SuspectsByWeight();
  for (const auto& [request, time] : cleared_) {
    if (!suspects_.contains(request)) requests.push_back(request);
  }
  return DigestOf(requests);
}

SuspectDigest SuspectTable::Convictions(std::size_t max_requests) const {
  std::vector<Fingerprint> requests = SuspectsByWeight();
  std::erase_if(requests, [this](Fingerprint it) {
    return !IsConvicted(suspects_.at(it));
  });
  std::sort(requests.begin(), requests.end(), [this](auto a, auto b) {
    return suspects_.at(a).crashes.back().broke >
           suspects_.at(b).crashes.back().broke;
  });
  if (requests.size() > max_requests) requests.resize(max_requests);
  return DigestOf(requests);
}

SuspectDigest SuspectTable::TakeUnpublished() {
  const auto requests = std::exchange(unpublished_, {});
  return DigestOf({requests.begin(), requests.end()});
}

void SuspectTable::Merge(const SuspectDigest& digest) {
  const TimePoint now = clock_.Now();
  for (const Clearance& it : digest.clearances) {
    Clear(it.fingerprint, now - it.age);
    // The peer has told everybody already.
    if (!suspects_.contains(it.fingerprint)) {
      unpublished_.erase(it.fingerprint);
    }
  }
  for (const CrashReport& report : digest.reports) {
    for (const InFlightRequest& it : report.in_flight) {
      Add(it.fingerprint, Crash{report.upstream, report.reporter,
                                now - it.sent_age, now - it.broke_age});
    }
  }
  for (const TrialRecord& it : digest.trials) MergeTrial(it, now);
  DropOld();
}

void SuspectTable::MergeInexact(const SuspectDigest& digest) {
  SuspectDigest undecided;
  for (const CrashReport& it : digest.reports) {
    CrashReport report = it;
    std::erase_if(report.in_flight, [this](const InFlightRequest& request) {
      return IsRefused(request.fingerprint) ||
             cleared_.contains(request.fingerprint);
    });
    undecided.reports.push_back(std::move(report));
  }
  for (const TrialRecord& it : digest.trials) {
    if (!cleared_.contains(it.fingerprint)) undecided.trials.push_back(it);
  }
  Merge(undecided);
}

void SuspectTable::MergeTrial(const TrialRecord& trial, TimePoint now) {
  const auto it = suspects_.find(trial.fingerprint);
  if (it == suspects_.end()) return;
  Suspect& suspect = it->second;
  suspect.trials = std::max(suspect.trials, trial.count);
  suspect.last_trial = std::max(suspect.last_trial, now - trial.age);
}

std::vector<InstanceId> OrderConvictionKeepers(
    Fingerprint request, const std::vector<InstanceId>& instances) {
  std::vector<std::string> names;
  names.reserve(instances.size());
  for (const InstanceId& it : instances) names.push_back(it.value());
  std::vector<InstanceId> keepers;
  for (const std::size_t i :
       RendezvousOrder(std::to_string(request.value()), names)) {
    keepers.push_back(instances[i]);
  }
  return keepers;
}

}  // namespace briarspread
