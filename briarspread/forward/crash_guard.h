#ifndef BRIARSPREAD_FORWARD_CRASH_GUARD_H_
#define BRIARSPREAD_FORWARD_CRASH_GUARD_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "briarspread/accounts/account.h"
#include "briarspread/contracts/suspect_table.h"
#include "briarspread/core/clock.h"
#include "briarspread/forward/departures.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {

/// Limits and times of a crash guard.
struct CrashGuardSettings {
  /// Maximum time between an exchange that breaks off and the end of its
  /// upstream for the two to count as a crash. The registration of a crashed
  /// upstream expires in less time.
  milliseconds confirm_time{6000};
  /// Maximum number of broken exchanges held within `confirm_time`; beyond it,
  /// the oldest are dropped.
  std::size_t max_broken_exchanges = 1024;
  /// How long the end of an upstream is remembered, to tell a registration that
  /// had only lapsed from a new one. Ends beyond `max_ends` are forgotten.
  seconds end_retention{600};
  std::size_t max_ends = 1024;
  SuspectSettings suspects;
};

/// Returns a hash of a request's host, target, body and client account: the
/// same for each retry of its caller. Thread-safe.
Fingerprint FingerprintOf(std::string_view host, std::string_view target,
                          std::string_view body,
                          const std::optional<accounts::AccountId>& account);
/// Returns the fingerprint of `request`, taking the host from its `Host`
/// header. Thread-safe.
Fingerprint FingerprintOf(const proxy::Request& request,
                          const std::optional<accounts::AccountId>& account);

/// Collects the evidence for and against callers' requests that may crash
/// upstreams; `SuspectTable` judges it. Only callers' requests are judged:
/// items of batch jobs and their reward calls stay owed whatever crashes under
/// them. An exchange that breaks off counts against its request if its upstream
/// ends within `confirm_time`. Must be used on the event loop's thread only.
class CrashGuard final {
 public:
  /// Precondition: `clock` outlives this object.
  CrashGuard(const CrashGuardSettings& settings, const InstanceId& self,
             const Clock& clock);

  /// Called when a request becomes refused, is tried, or is no longer refused.
  void SetOnConvictionChanged(
      std::function<void(Fingerprint)> on_conviction_changed) {
    on_conviction_changed_ = std::move(on_conviction_changed);
  }

  /// The evidence and its convictions.
  SuspectTable& table() { return table_; }
  const SuspectTable& table() const { return table_; }

  /// Records that the exchange of `request` with `upstream`, sent at `sent`,
  /// ended without a complete response although the request may have run.
  void RecordBrokenExchange(const UpstreamStart& upstream, Fingerprint request,
                            TimePoint sent);
  /// Called when an upstream has ended without announcing its departure, or has
  /// restarted.
  void OnUpstreamEnd(const UpstreamStart& upstream);
  /// Called when an upstream is newly listed. If the same start was taken for
  /// ended, because its registration had lapsed, the crash no longer counts.
  void OnUpstreamListed(const UpstreamStart& upstream);

 private:
  /// An exchange that broke off, possibly because its upstream crashed.
  struct BrokenExchange {
    UpstreamStart upstream;
    SuspectTable::BrokenRequest request;
  };

  void DropOld();
  void OnConvictionChanged(Fingerprint request);

  const CrashGuardSettings settings_;
  const Clock& clock_;
  SuspectTable table_;
  std::function<void(Fingerprint)> on_conviction_changed_;
  /// Ordered by time, oldest first.
  std::deque<BrokenExchange> broken_exchanges_;
  /// Starts that have ended, and when.
  std::map<UpstreamId, TimePoint> ended_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_CRASH_GUARD_H_
