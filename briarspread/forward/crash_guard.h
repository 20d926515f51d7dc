#ifndef BRIARSPREAD_FORWARD_CRASH_GUARD_H_
#define BRIARSPREAD_FORWARD_CRASH_GUARD_H_

#include <deque>
#include <functional>
#include <string_view>
#include <vector>

#include "briarspread/contracts/suspect_table.h"
#include "briarspread/core/clock.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {

/// Limits and times of a crash guard.
struct CrashGuardSettings {
  /// Number of upstreams that may crash with a request in flight before the
  /// request is refused.
  std::size_t max_crashes = 3;
  /// Maximum time between an exchange that breaks off and the end of its
  /// upstream for the two to count as a crash. The registration of a crashed
  /// upstream expires in less time.
  milliseconds confirm_time{6000};
  /// Maximum number of broken exchanges held within `confirm_time`; beyond it,
  /// the oldest are dropped.
  std::size_t max_broken_exchanges = 1024;
  SuspectSettings suspects;
};

/// Returns a hash of a request's host, target and body, the same for every
/// caller that sends it and every retry. Thread-safe.
Fingerprint FingerprintOf(std::string_view host, std::string_view target,
                          std::string_view body);
/// Returns the fingerprint of `request`, taking the host from its `Host`
/// header. Thread-safe.
Fingerprint FingerprintOf(const proxy::Request& request);

/// Detects requests that crash upstreams, so that they are refused before they
/// crash more. Only callers' requests may do so: items of batch jobs and their
/// reward calls stay owed whatever crashes under them. An exchange that breaks
/// off counts against its request if its upstream ends within `confirm_time`; a
/// complete response clears the request. Shares what it finds with the other
/// instances. Must be used on the event loop's thread only.
class CrashGuard final {
 public:
  /// Called when this instance detects a crash, so that it can be sent to the
  /// other instances without delay.
  using OnCrash = std::function<void()>;

  /// Precondition: `clock` outlives this object; no earlier process had `self`.
  CrashGuard(const CrashGuardSettings& settings, const ProcessId& self,
             const Clock& clock);

  void SetOnCrash(OnCrash on_crash) { on_crash_ = std::move(on_crash); }

  /// Returns whether any request is suspected. Callers check this first,
  /// because it is cheaper than hashing a request.
  bool has_suspects() const { return table_.has_reports(); }
  /// Returns whether the request has crashed `max_crashes` upstreams and must
  /// not be sent to any other.
  bool ShouldRefuse(Fingerprint request) const;

  /// Records that the exchange of `request` with `upstream` broke off.
  void RecordBrokenExchange(const UpstreamId& upstream, Fingerprint request);
  /// Clears the request of earlier crashes, because it was answered completely.
  void RecordCompleteResponse(Fingerprint request);
  /// Called when an upstream has ended without announcing its departure, or has
  /// restarted. `start_id` is the start that ended; it distinguishes the
  /// crashes of several starts of one upstream.
  void OnUpstreamEnd(const UpstreamId& upstream, std::uint64_t start_id);
  /// Returns the number of crash reports held, each of an upstream that ended
  /// with requests in flight.
  std::size_t crash_report_count() const { return table_.report_count(); }

  /// Returns the newest crash reports and clearances, to be sent to other
  /// instances; `Merge` adds those of another instance.
  SuspectDigest Digest() const;
  void Merge(const SuspectDigest& digest);

 private:
  /// An exchange that broke off, possibly because its upstream crashed.
  struct BrokenExchange {
    UpstreamId upstream;
    Fingerprint request;
    TimePoint at{};
  };

  void DropOld();

  const CrashGuardSettings settings_;
  const Clock& clock_;
  SuspectTable table_;
  OnCrash on_crash_;
  /// Ordered by time, oldest first.
  std::deque<BrokenExchange> broken_exchanges_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_CRASH_GUARD_H_
