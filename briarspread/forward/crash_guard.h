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

/// Settings of a crash guard.
struct CrashGuardSettings {
  /// Upstreams that may die with a request before it is sent to none any more.
  std::size_t max_deaths = 3;
  /// A broken exchange counts as a death where its upstream is seen to have
  /// ended within this time. Registrations of dead upstreams lapse in less.
  milliseconds confirm_time{6000};
  /// Broken exchanges held meanwhile; beyond, the oldest are forgotten.
  std::size_t max_pending = 1024;
  SuspectSettings suspects;
};

/// Names what a request is, whoever sends it again: its host, target and body.
/// Thread-safe.
Fingerprint FingerprintOf(std::string_view host, std::string_view target,
                          std::string_view body);
/// The same of a whole request. Thread-safe.
Fingerprint FingerprintOf(const proxy::Request& request);

/// Keeps requests that crash upstreams from more of them, together with the
/// other instances. An exchange that breaks while its upstream ends, counts
/// against its request; a whole answer clears it. Loop's thread only.
class CrashGuard final {
 public:
  /// Called once this instance has learnt of a death, to tell others at once.
  using OnDeath = std::function<void()>;

  /// Precondition: `clock` outlives this object; no earlier process had `self`.
  CrashGuard(const CrashGuardSettings& settings, const ProcessId& self,
             const Clock& clock);

  void SetOnDeath(OnDeath on_death) { on_death_ = std::move(on_death); }

  /// Whether any request is suspected; lets the common request skip its hash.
  bool has_suspects() const { return table_.has_reports(); }
  /// Whether the request has crashed so many upstreams that it is sent to none.
  bool MustRefuse(Fingerprint request) const;

  /// An exchange broke off at an upstream.
  void NoteBroken(const UpstreamId& upstream, Fingerprint request);
  /// The request was answered whole.
  void NoteAnswered(Fingerprint request);
  /// The upstream has ended without notice, or has started anew. `start_id`
  /// names the start that ended, so that its deaths are told apart.
  void NoteEnded(const UpstreamId& upstream, std::uint64_t start_id);
  /// Deaths with requests in flight that this instance knows of.
  std::size_t deaths_known() const { return table_.report_count(); }

  /// What this instance knows, for others; and what another knows.
  SuspectDigest Digest() const;
  void Merge(const SuspectDigest& digest);

 private:
  /// An exchange that broke, and may have been cut by its upstream's death.
  struct Broken {
    UpstreamId upstream;
    Fingerprint request;
    TimePoint at{};
  };

  void DropOld();

  const CrashGuardSettings settings_;
  const Clock& clock_;
  SuspectTable table_;
  OnDeath on_death_;
  /// In the order of time.
  std::deque<Broken> broken_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_CRASH_GUARD_H_
