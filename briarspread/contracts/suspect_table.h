#ifndef BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_
#define BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_

#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/contracts/home_table.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// One request that was in flight on an upstream as it died.
struct DeathWitnessed {
  /// The hash of the request's body.
  Fingerprint fingerprint;
  /// Whether it was being run alone, as a suspect.
  bool is_trial = false;

  friend auto operator<=>(const DeathWitnessed&,
                          const DeathWitnessed&) = default;
};

/// Names one report in the fleet.
struct DeathReportId {
  /// The process that reported.
  ProcessId reporter;
  /// Numbers its reports.
  std::uint64_t number = 0;

  friend auto operator<=>(const DeathReportId&, const DeathReportId&) = default;
};

/// What one instance had in flight on an upstream as it died.
struct DeathReport {
  DeathReportId id;
  /// The upstream.
  UpstreamId upstream;
  /// How long ago it died.
  milliseconds age{0};
  /// The requests, in order.
  std::vector<DeathWitnessed> in_flight;

  friend bool operator==(const DeathReport&, const DeathReport&) = default;
};

/// A suspect that was run alone and ended well.
struct Clearance {
  /// The request.
  Fingerprint fingerprint;
  /// How long ago the run began; deaths before it no longer count.
  milliseconds age{0};

  friend bool operator==(const Clearance&, const Clearance&) = default;
};

/// What instances tell each other of suspects. Bounded by the settings.
struct SuspectDigest {
  std::vector<DeathReport> reports;
  std::vector<Clearance> clearances;

  friend bool operator==(const SuspectDigest&, const SuspectDigest&) = default;
};

/// JSON text of a digest. Thread-safe.
std::string ToJson(const SuspectDigest& digest);
/// Reads a digest; `kInvalidArgument` for malformed or oversized text.
/// Thread-safe.
Result<SuspectDigest> ParseSuspectDigest(std::string_view text);

/// Bounds and times of a suspect table.
struct SuspectSettings {
  /// Reports of one upstream within this time tell of one death.
  milliseconds same_death{10'000};
  /// How long a death alone waits for other instances' reports before it
  /// convicts. At least the time that digests take to all instances.
  milliseconds confirm_delay{5'000};
  /// How long reports and clearances count.
  seconds time_to_live{86'400};
  /// When a caller refused during a trial or a confirmation is to come back.
  milliseconds retry_after{1'000};
  /// The most suspects run alone at once at this instance.
  std::size_t max_trials = 1;
  /// The most reports and clearances held; beyond, the oldest go.
  std::size_t max_reports = 1024;
  std::size_t max_clearances = 4096;
};

/// How a request may be run.
enum class SuspectAdmission {
  /// As any other.
  kRunNormally,
  /// With nothing else on its upstream, then `EndTrial` or `OnDeath`.
  kRunAlone,
  /// At the instance that runs this suspect; see `TrialHome`.
  kForward,
  /// Not now: it, or another suspect, is being run alone or confirmed.
  kRefuseForNow,
  /// Never: it kills upstreams.
  kRefuseForGood,
};

/// Finds requests that crash each upstream that runs them, by body.
///
/// A request in flight on an upstream as it dies is a suspect. A suspect is run
/// alone, at one instance of the fleet. It is cleared when that ends well, and
/// convicted when its upstream dies and no other instance reports a request in
/// flight there. Verdicts follow from reports and clearances, which merge by
/// union, so that instances agree and none is lost with its finder.
/// Thread-safe.
class SuspectTable {
 public:
  /// Precondition: `clock` outlives this object; no earlier process had `self`.
  SuspectTable(SuspectSettings settings, ProcessId self, const Clock& clock);

  /// How to run a request with this body. `is_trial_home` says whether this
  /// instance is the one for it. After `kRunAlone` the trial is under way.
  SuspectAdmission Admit(Fingerprint fingerprint, bool is_trial_home);
  /// The refusal that goes with `kRefuseForNow` and `kRefuseForGood`. Certain
  /// for this attempt: verdict `kNotRun`.
  Error RefusalOf(SuspectAdmission admission) const;

  /// The upstream died with these requests of this instance in flight. Ends
  /// the trials among them. To be called before their callers are answered,
  /// and the digest sent to peers at once, so that a re-send is known there.
  void OnDeath(const UpstreamId& upstream,
               const std::vector<Fingerprint>& in_flight);
  /// A trial ended without the upstream's death. Only a whole answer clears.
  void EndTrial(Fingerprint fingerprint, bool is_answered);

  /// Upstreams that died with this request in flight, and were not cleared by
  /// a later whole answer. Reports of one death count once.
  std::size_t DeathsOf(Fingerprint fingerprint) const;
  /// The request was answered whole: deaths until now no longer count.
  void Clear(Fingerprint fingerprint);
  /// Whether any report is held.
  bool has_reports() const { return has_reports_; }
  std::size_t report_count() const;

  /// The newest reports and clearances, at most `limit` of each.
  SuspectDigest Digest(std::size_t limit) const;
  /// Takes a peer's digest. Safe to repeat, in any order.
  void Merge(const SuspectDigest& digest);

  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsConvicted(Fingerprint fingerprint) const;

 private:
  /// A report with its time by this machine's clock.
  struct Held {
    UpstreamId upstream;
    TimePoint died;
    std::vector<DeathWitnessed> in_flight;
  };
  enum class State { kClean, kSuspect, kConfirming, kConvicted };
  State StateOf(Fingerprint fingerprint, TimePoint now) const;
  bool IsAlone(const Held& report, Fingerprint fingerprint) const;
  void DropOld(TimePoint now);

  /// Bounds and times.
  SuspectSettings settings_;
  /// This process.
  ProcessId self_;
  /// The time.
  const Clock& clock_;
  /// Whether any report is held; lets the common request skip the lock.
  std::atomic<bool> has_reports_{false};
  /// Guards all below.
  mutable std::mutex mutex_;
  /// Reports of all instances.
  std::map<DeathReportId, Held> reports_;
  /// When the last good run alone began, by request.
  std::map<Fingerprint, TimePoint> cleared_;
  /// When trials under way began, by request.
  std::map<Fingerprint, TimePoint> trials_;
  /// Numbers own reports.
  std::uint64_t last_report_ = 0;
};

/// The instance that runs suspects of this body alone, among those live.
/// Precondition: `instances` is not empty. Thread-safe.
InstanceId TrialHome(Fingerprint fingerprint,
                     const std::vector<InstanceId>& instances);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_
