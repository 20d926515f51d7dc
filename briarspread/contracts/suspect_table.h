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

/// A request that was in flight on an upstream when the upstream crashed.
struct InFlightRequest {
  /// Hash of the request's body.
  Fingerprint fingerprint;
  /// Whether the request was running alone, in the trial of a suspect.
  bool is_trial = false;

  friend auto operator<=>(const InFlightRequest&,
                          const InFlightRequest&) = default;
};

/// Identifies one report within the fleet.
struct CrashReportId {
  /// The process that made the report.
  ProcessId reporter;
  /// Number of the report within that process.
  std::uint64_t number = 0;

  friend auto operator<=>(const CrashReportId&, const CrashReportId&) = default;
};

/// The requests that one instance had in flight on an upstream when the
/// upstream crashed.
struct CrashReport {
  CrashReportId id;
  UpstreamId upstream;
  /// Time since the crash.
  milliseconds age{0};
  /// The requests, sorted, without duplicates.
  std::vector<InFlightRequest> in_flight;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// States that a suspect request got a complete response.
struct Clearance {
  /// Hash of the request's body.
  Fingerprint fingerprint;
  /// Time since the point before which crashes no longer count against the
  /// request: the start of its trial, or the call of `Clear`.
  milliseconds age{0};

  friend bool operator==(const Clearance&, const Clearance&) = default;
};

/// Reports and clearances that instances send to each other.
struct SuspectDigest {
  std::vector<CrashReport> reports;
  std::vector<Clearance> clearances;

  friend bool operator==(const SuspectDigest&, const SuspectDigest&) = default;
};

/// Serializes a digest as JSON. Thread-safe.
std::string ToJson(const SuspectDigest& digest);
/// Parses a digest. Returns `kInvalidArgument` if the text is malformed or a
/// list in it is too long. Thread-safe.
Result<SuspectDigest> ParseSuspectDigest(std::string_view text);

/// Settings of a suspect table.
struct SuspectSettings {
  /// Reports about one upstream whose crash times differ by at most this time
  /// are about the same crash.
  milliseconds same_crash_window{10'000};
  /// How long to wait, after a crash in a trial, for reports of other instances
  /// about the same crash before the request is blocked. Must be at least the
  /// time in which digests reach all instances.
  milliseconds confirm_delay{5'000};
  /// How long reports and clearances are kept.
  seconds time_to_live{86'400};
  /// When a caller may retry after a refusal with `kRefuseForNow`.
  milliseconds retry_after{1'000};
  /// Maximum number of concurrent trials at this instance.
  std::size_t max_trials = 1;
  /// Maximum number of reports in the table. Above it, the oldest are evicted.
  std::size_t max_reports = 1024;
  /// Maximum number of clearances. Above it, the oldest are evicted.
  std::size_t max_clearances = 4096;
};

/// How a request may be run.
enum class SuspectAdmission {
  /// Run it like any other request.
  kRunNormally,
  /// Run it as a trial, with no other request on its upstream, then call
  /// `EndTrial` or `OnCrash`.
  kRunAlone,
  /// Forward it to the instance that runs its trial; see `SelectTrialInstance`.
  kForward,
  /// Refuse it temporarily: its trial is running or being confirmed, or the
  /// maximum number of trials are running.
  kRefuseForNow,
  /// Refuse it permanently: it is blocked because it crashes upstreams.
  kRefuseForGood,
};

/// Finds requests, identified by a hash of their body, that crash every
/// upstream that runs them.
///
/// A request in flight on an upstream that crashes becomes a suspect. A suspect
/// runs alone on an upstream, in a trial at one instance of the fleet. It is
/// cleared if the trial ends with a complete response. It is blocked if the
/// upstream crashes and no instance reports another request in flight there.
/// Every instance derives these decisions from the reports and clearances,
/// which are merged by union. So all instances come to the same decisions, and
/// a decision survives the loss of the instance that made the report.
/// Thread-safe.
class SuspectTable {
 public:
  /// Preconditions: `clock` outlives this object; no earlier process had the id
  /// `self`.
  SuspectTable(SuspectSettings settings, ProcessId self, const Clock& clock);

  /// Returns how to run a request with this body. `is_trial_instance` states
  /// whether this instance runs the body's trials; see `SelectTrialInstance`.
  /// If the result is `kRunAlone` the trial has started.
  SuspectAdmission Admit(Fingerprint fingerprint, bool is_trial_instance);
  /// Returns the error for `kRefuseForNow` or `kRefuseForGood`. Its verdict is
  /// `kNotRun`.
  Error RefusalOf(SuspectAdmission admission) const;

  /// Records that the upstream crashed while these requests of this instance
  /// were in flight, and ends the trials among them. Must be called before the
  /// requests are answered, and the digest must be sent to peers right after,
  /// so that a re-send to a peer is recognized as a suspect.
  void OnCrash(const UpstreamId& upstream,
               const std::vector<Fingerprint>& in_flight);
  /// Ends a trial in which the upstream did not crash. The request is cleared
  /// only if `is_answered`: it got a complete response.
  void EndTrial(Fingerprint fingerprint, bool is_answered);

  /// Returns the number of crashes with this request in flight since it was
  /// last cleared. Several reports about one crash count once.
  std::size_t CountCrashes(Fingerprint fingerprint) const;
  /// Records that the request got a complete response. Crashes up to now no
  /// longer count against it.
  void Clear(Fingerprint fingerprint);
  /// Returns whether the table holds any report.
  bool has_reports() const { return has_reports_; }
  std::size_t report_count() const;

  /// Returns the newest reports and clearances, at most `limit` of each.
  SuspectDigest Digest(std::size_t limit) const;
  /// Adds the contents of a peer's digest. Digests may be merged repeatedly and
  /// in any order.
  void Merge(const SuspectDigest& digest);

  /// Returns whether a request with this body is a suspect or blocked.
  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsBlocked(Fingerprint fingerprint) const;

 private:
  /// A crash report as kept in the table.
  struct StoredReport {
    UpstreamId upstream;
    /// Time of the crash by the local clock.
    TimePoint time;
    std::vector<InFlightRequest> in_flight;
  };
  enum class State { kClean, kSuspect, kConfirming, kBlocked };
  State StateOf(Fingerprint fingerprint, TimePoint now) const;
  bool IsOnlyInFlight(const StoredReport& report,
                      Fingerprint fingerprint) const;
  void EvictOld(TimePoint now);

  SuspectSettings settings_;
  /// The id of this process.
  ProcessId self_;
  const Clock& clock_;
  /// Whether `reports_` is not empty. Lets `Admit` return without taking the
  /// lock in the common case that there are no reports.
  std::atomic<bool> has_reports_{false};
  /// Guards all members below.
  mutable std::mutex mutex_;
  /// Reports of all instances.
  std::map<CrashReportId, StoredReport> reports_;
  /// The time up to which crashes no longer count, by request; see `Clearance`.
  std::map<Fingerprint, TimePoint> cleared_;
  /// Start times of the trials that run at this instance, by request.
  std::map<Fingerprint, TimePoint> trials_;
  /// The number of this process's last report.
  std::uint64_t last_report_ = 0;
};

/// Returns the instance, out of the live `instances`, that runs the trials of
/// suspects with this body. Precondition: `instances` is not empty.
/// Thread-safe.
InstanceId SelectTrialInstance(Fingerprint fingerprint,
                               const std::vector<InstanceId>& instances);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_
