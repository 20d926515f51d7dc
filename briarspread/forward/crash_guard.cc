#include "briarspread/forward/crash_guard.h"

#include <glog/logging.h>

#include <algorithm>

#include "briarspread/core/rendezvous.h"

namespace briarspread::forward {
namespace {

/// Maximum number of crash reports and of clearances in one digest; the newest
/// are sent.
constexpr std::size_t kMaxDigestItems = 64;

}  // namespace

Fingerprint FingerprintOf(std::string_view host, std::string_view target,
                          std::string_view body) {
  return Fingerprint(StableHash(body, StableHash(target, StableHash(host))));
}

Fingerprint FingerprintOf(const proxy::Request& request) {
  const std::string* host = request.head.headers.Find("Host");
  return FingerprintOf(host == nullptr ? std::string_view{} : *host,
                       request.head.target, request.body);
}

CrashGuard::CrashGuard(const CrashGuardSettings& settings,
                       const ProcessId& self, const Clock& clock)
    : settings_(settings),
      clock_(clock),
      table_(settings.suspects, self, clock) {}

bool CrashGuard::ShouldRefuse(Fingerprint request) const {
  return has_suspects() &&
         table_.CountCrashes(request) >= settings_.max_crashes;
}

void CrashGuard::DropOld() {
  const TimePoint oldest = clock_.Now() - settings_.confirm_time;
  while (!broken_exchanges_.empty() &&
         (broken_exchanges_.front().at < oldest ||
          broken_exchanges_.size() > settings_.max_broken_exchanges)) {
    broken_exchanges_.pop_front();
  }
}

void CrashGuard::RecordBrokenExchange(const UpstreamId& upstream,
                                      Fingerprint request) {
  broken_exchanges_.push_back(BrokenExchange{upstream, request, clock_.Now()});
  DropOld();
}

void CrashGuard::RecordCompleteResponse(Fingerprint request) {
  if (has_suspects()) table_.Clear(request);
}

void CrashGuard::OnUpstreamEnd(const UpstreamId& upstream,
                               std::uint64_t start_id) {
  DropOld();
  std::vector<Fingerprint> in_flight;
  for (const BrokenExchange& it : broken_exchanges_) {
    if (it.upstream == upstream) in_flight.push_back(it.request);
  }
  if (in_flight.empty()) return;
  std::erase_if(broken_exchanges_, [&upstream](const BrokenExchange& it) {
    return it.upstream == upstream;
  });
  LOG(WARNING) << "event=upstream_died upstream=" << upstream
               << " requests=" << in_flight.size();
  table_.OnCrash(UpstreamId(upstream.value() + "@" + std::to_string(start_id)),
                 in_flight);
  if (on_crash_) on_crash_();
}

SuspectDigest CrashGuard::Digest() const {
  return table_.Digest(kMaxDigestItems);
}

void CrashGuard::Merge(const SuspectDigest& digest) { table_.Merge(digest); }

}  // namespace briarspread::forward
