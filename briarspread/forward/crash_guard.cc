#include "briarspread/forward/crash_guard.h"

#include <glog/logging.h>

#include <string>
#include <vector>

#include "briarspread/core/rendezvous.h"

namespace briarspread::forward {
namespace {

/// Returns a name of the start that no other start has.
UpstreamId NameOf(const UpstreamStart& upstream) {
  return UpstreamId(upstream.id.value() + "@" +
                    std::to_string(upstream.start_id));
}

}  // namespace

Fingerprint FingerprintOf(std::string_view host, std::string_view target,
                          std::string_view body,
                          const std::optional<accounts::AccountId>& account) {
  const std::uint64_t request =
      StableHash(body, StableHash(target, StableHash(host)));
  return Fingerprint(account.has_value() ? StableHash(account->value(), request)
                                         : request);
}

Fingerprint FingerprintOf(const proxy::Request& request,
                          const std::optional<accounts::AccountId>& account) {
  const std::string* host = request.head.headers.Find("Host");
  return FingerprintOf(host == nullptr ? std::string_view{} : *host,
                       request.head.target, request.body, account);
}

CrashGuard::CrashGuard(const CrashGuardSettings& settings,
                       const InstanceId& self, const Clock& clock)
    : settings_(settings),
      clock_(clock),
      table_(settings.suspects, self, clock) {
  table_.SetOnConvictionChanged(
      [this](Fingerprint request) { OnConvictionChanged(request); });
}

void CrashGuard::OnConvictionChanged(Fingerprint request) {
  const auto until_trial = table_.TimeUntilTrial(request);
  LOG(WARNING)
      << "event=conviction_changed fingerprint=" << request
      << " is_refused=" << table_.IsRefused(request)
      << " crashes=" << table_.CountCrashes(request) << " trial_in_ms="
      << (until_trial.has_value()
              ? std::chrono::duration_cast<milliseconds>(*until_trial).count()
              : -1);
  if (on_conviction_changed_) on_conviction_changed_(request);
}

void CrashGuard::DropOld() {
  const TimePoint oldest = clock_.Now() - settings_.confirm_time;
  while (!broken_exchanges_.empty() &&
         (broken_exchanges_.front().request.broke < oldest ||
          broken_exchanges_.size() > settings_.max_broken_exchanges)) {
    broken_exchanges_.pop_front();
  }
  const TimePoint oldest_end = clock_.Now() - settings_.end_retention;
  std::erase_if(
      ended_, [oldest_end](const auto& it) { return it.second < oldest_end; });
}

void CrashGuard::RecordBrokenExchange(const UpstreamStart& upstream,
                                      Fingerprint request, TimePoint sent) {
  broken_exchanges_.push_back({upstream, {request, sent, clock_.Now()}});
  DropOld();
}

void CrashGuard::OnUpstreamEnd(const UpstreamStart& upstream) {
  DropOld();
  if (ended_.size() < settings_.max_ends) {
    ended_[NameOf(upstream)] = clock_.Now();
  }
  std::vector<SuspectTable::BrokenRequest> in_flight;
  for (const BrokenExchange& it : broken_exchanges_) {
    if (it.upstream == upstream) in_flight.push_back(it.request);
  }
  if (in_flight.empty()) return;
  std::erase_if(broken_exchanges_, [&upstream](const BrokenExchange& it) {
    return it.upstream == upstream;
  });
  LOG(WARNING) << "event=upstream_died upstream=" << upstream.id
               << " start=" << upstream.start_id
               << " requests=" << in_flight.size();
  table_.RecordCrash(NameOf(upstream), in_flight);
}

void CrashGuard::OnUpstreamListed(const UpstreamStart& upstream) {
  const UpstreamId name = NameOf(upstream);
  if (ended_.erase(name) == 0) return;
  LOG(WARNING) << "event=upstream_back upstream=" << upstream.id
               << " start=" << upstream.start_id;
  table_.RetractCrash(name);
}

}  // namespace briarspread::forward
