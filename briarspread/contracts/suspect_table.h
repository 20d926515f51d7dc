#ifndef BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_
#define BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/contracts/recent_answers.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// A request that was in flight at an upstream when the upstream ended.
struct InFlightRequest {
  Fingerprint fingerprint;
  /// Time since the request was sent to the upstream.
  milliseconds sent_age{0};
  /// Time since its exchange broke off.
  milliseconds broke_age{0};

  friend bool operator==(const InFlightRequest&,
                         const InFlightRequest&) = default;
};

/// The requests that one instance had in flight at one start of an upstream
/// when it ended.
struct CrashReport {
  InstanceId reporter;
  /// Names the start that ended; no other start has the same name.
  UpstreamId upstream;
  std::vector<InFlightRequest> in_flight;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// States that a request was answered completely.
struct Clearance {
  Fingerprint fingerprint;
  /// Time since the answer.
  milliseconds age{0};

  friend bool operator==(const Clearance&, const Clearance&) = default;
};

/// States how often a refused request was sent on trial.
struct TrialRecord {
  Fingerprint fingerprint;
  std::uint32_t count = 0;
  /// Time since the last trial began.
  milliseconds age{0};

  friend bool operator==(const TrialRecord&, const TrialRecord&) = default;
};

/// Evidence that instances send to each other and keep in the store.
struct SuspectDigest {
  std::vector<CrashReport> reports;
  std::vector<Clearance> clearances;
  std::vector<TrialRecord> trials;

  bool empty() const {
    return reports.empty() && clearances.empty() && trials.empty();
  }
  friend bool operator==(const SuspectDigest&, const SuspectDigest&) = default;
};

/// Serializes a digest as JSON. Thread-safe.
std::string ToJson(const SuspectDigest& digest);
/// Parses a digest, also one of an earlier build, whose reports do not tell
/// when a request was sent. Returns `kInvalidArgument` if the text is malformed
/// or a list in it is too long. Thread-safe.
Result<SuspectDigest> ParseSuspectDigest(std::string_view text);
/// Returns the digest as it is after `time` has passed. Thread-safe.
SuspectDigest Aged(SuspectDigest digest, milliseconds time);

/// Settings of a suspect table.
struct SuspectSettings {
  /// Number of independent crashes after which a request is refused.
  std::size_t max_crashes = 3;
  /// Where two instances observed two crashes, the request must have been sent
  /// this long after the first crash for the second to be independent: ages
  /// from another instance are late by the time that the digest took.
  milliseconds transfer_margin{100};
  /// How long crashes count, and a conviction holds, without further evidence.
  seconds time_to_live{86'400};
  /// How long a clearance is kept for reports that come later.
  seconds clearance_time{600};
  /// When a refused request is first tried again, and by how much each further
  /// delay is longer. Upstreams that ended together are back by then.
  milliseconds first_trial_delay{10'000};
  int trial_delay_factor = 10;
  /// Maximum number of trials of one request. A request that ended an upstream
  /// in each of them stays refused for `time_to_live`.
  std::uint32_t max_trials = 2;
  /// Maximum number of requests with crashes. Above it, those that are not
  /// refused are evicted first, then the oldest.
  std::size_t max_suspects = 4096;
  /// Maximum number of crashes held for one request, and of clearances.
  std::size_t max_crashes_held = 16;
  /// Maximum number of reports in one digest.
  std::size_t max_reports = 2048;
  std::size_t max_clearances = 4096;
  RecentAnswersSettings recent_answers;
};

/// How a request may be run.
enum class SuspectAdmission {
  /// Run it like any other request.
  kRun,
  /// Refuse it: it ends the upstreams that run it.
  kRefuse,
  /// Refuse it unless `StartTrial` succeeds; it may then run once.
  kTryOnce,
};

/// Finds requests that end every upstream that runs them, by one rule of
/// evidence (docs/design/crashing-requests.md):
///
/// Against a request counts the end of an upstream with the request in flight.
/// Two ends are independent only if the request was sent to the second upstream
/// after the first had ended; upstreams that end together count once. For it
/// counts a complete answer by any upstream: all crashes before it are dropped.
/// After `max_crashes` independent crashes without an answer the request is
/// refused, and may run again only in few trials, at growing intervals.
///
/// Evidence of all instances is merged by union, in any order, so that all come
/// to the same conviction and a conviction survives the instances that found
/// it. Must be used on one thread.
class SuspectTable {
 public:
  /// A request whose exchange broke off at an upstream that has ended.
  struct BrokenRequest {
    Fingerprint fingerprint;
    TimePoint sent{};
    TimePoint broke{};
  };

  /// Precondition: `clock` outlives this object.
  SuspectTable(const SuspectSettings& settings, InstanceId self,
               const Clock& clock);

  /// Called when this instance has evidence that its peers do not have yet.
  void SetOnUnpublished(std::function<void()> on_unpublished) {
    on_unpublished_ = std::move(on_unpublished);
  }
  /// Called when a request becomes refused, is tried, or is no longer refused.
  void SetOnConvictionChanged(
      std::function<void(Fingerprint)> on_conviction_changed) {
    on_conviction_changed_ = std::move(on_conviction_changed);
  }

  /// Returns whether any request has crashes that count. Callers check this
  /// first, because it is cheaper than hashing a request.
  bool has_suspects() const { return !suspects_.empty(); }
  std::size_t suspect_count() const { return suspects_.size(); }
  std::size_t refused_count() const;
  /// Returns the number of ends of upstreams that count against a request.
  std::size_t crash_count() const;
  SuspectAdmission Decide(Fingerprint request) const;
  bool IsRefused(Fingerprint request) const {
    return Decide(request) != SuspectAdmission::kRun;
  }
  /// Returns the number of independent crashes since the last answer.
  std::size_t CountCrashes(Fingerprint request) const;
  /// Returns the time until a refused request may be tried; nothing if it is
  /// not refused or has no trial left.
  std::optional<Duration> TimeUntilTrial(Fingerprint request) const;
  /// Records a trial that begins now. Returns false, without effect, if none is
  /// due.
  bool StartTrial(Fingerprint request);

  /// Records that a start of an upstream has ended, with these requests of this
  /// instance in flight.
  void RecordCrash(const UpstreamId& upstream,
                   const std::vector<BrokenRequest>& in_flight);
  /// Drops all that was reported about a start that turned out to be running.
  void RetractCrash(const UpstreamId& upstream);
  /// Records that the request was answered completely.
  void RecordAnswer(Fingerprint request);

  /// Returns all evidence held.
  SuspectDigest All() const;
  /// Returns the evidence for the convictions in force, at most `max_requests`:
  /// those with the newest crashes.
  SuspectDigest Convictions(std::size_t max_requests) const;
  /// Returns what was not published yet, and counts it as published.
  SuspectDigest TakeUnpublished();
  /// Adds the contents of a peer's digest.
  void Merge(const SuspectDigest& digest);
  /// Adds the contents of a digest whose ages are less exact, since they come
  /// from another machine's wall clock. Its crashes are left out of requests
  /// that are refused or were answered here.
  void MergeInexact(const SuspectDigest& digest);

 private:
  /// The end of an upstream with the request in flight there.
  struct Crash {
    UpstreamId upstream;
    InstanceId reporter;
    TimePoint sent{};
    TimePoint broke{};
  };
  struct Suspect {
    /// Ordered by `broke`, one for each upstream.
    std::vector<Crash> crashes;
    std::uint32_t trials = 0;
    TimePoint last_trial{};
  };

  /// Returns the largest chain of independent crashes, oldest first.
  std::vector<const Crash*> Independent(const Suspect& suspect) const;
  bool IsConvicted(const Suspect& suspect) const;
  TimePoint NextTrial(const Suspect& suspect) const;
  /// Calls the observer if whether the request is refused has changed.
  void NotifyIfChanged(Fingerprint request, bool was_convicted);
  /// Returns whether the crash counts, and was not known as it is.
  bool Add(Fingerprint request, const Crash& crash);
  /// Keeps the number of crashes of one request in its limit.
  void Trim(Suspect& suspect) const;
  /// Drops crashes up to `time`. Returns whether that was new.
  bool Clear(Fingerprint request, TimePoint time);
  void MergeTrial(const TrialRecord& trial, TimePoint now);
  void Publish(Fingerprint request);
  /// Returns the requests with crashes, those that are refused first.
  std::vector<Fingerprint> SuspectsByWeight() const;
  /// Returns the evidence about `requests`; where it is too much, that about
  /// the first ones.
  SuspectDigest DigestOf(const std::vector<Fingerprint>& requests) const;
  void DropOld();

  const SuspectSettings settings_;
  const InstanceId self_;
  const Clock& clock_;
  std::function<void()> on_unpublished_;
  std::function<void(Fingerprint)> on_conviction_changed_;
  /// Requests with crashes that count.
  std::map<Fingerprint, Suspect> suspects_;
  /// Time of the last answer that is known, by request.
  std::map<Fingerprint, TimePoint> cleared_;
  /// Starts that were reported as ended and came back, and when.
  std::map<UpstreamId, TimePoint> retracted_;
  /// An upstream's end is known only seconds later; answers until then count.
  RecentAnswers answers_;
  std::set<Fingerprint> unpublished_;
};

/// Returns the live `instances` in the order in which they answer for a
/// request: the first one grants its trials and keeps its conviction, the next
/// one checks that it does. Thread-safe.
std::vector<InstanceId> OrderConvictionKeepers(
    Fingerprint request, const std::vector<InstanceId>& instances);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_SUSPECT_TABLE_H_
