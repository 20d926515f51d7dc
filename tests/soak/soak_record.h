#ifndef TESTS_SOAK_SOAK_RECORD_H_
#define TESTS_SOAK_SOAK_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::soak {

/// The client accounts of a run: of the live callers and of each trainer.
inline constexpr const char* kSoakAccounts[] = {"live", "trainer0", "trainer1"};

/// Returns the account that a request or item belongs to, by its id.
inline std::string SoakAccountOf(const std::string& id) {
  if (id.starts_with("t0")) return "trainer0";
  return id.starts_with("t1") ? "trainer1" : "live";
}

/// Returns the API key of an account. soak.sh searches the logs for its prefix.
inline std::string SoakKeyOf(const std::string& account) {
  return "soakkey-" + account;
}

/// A result as returned by a read.
struct ReadResult {
  std::string item;
  bool is_complete = false;
  std::string text;
  std::vector<std::uint64_t> versions;
  std::string score;

  friend bool operator==(const ReadResult&, const ReadResult&) = default;
};

/// A weight order as received by a replica.
struct ReceivedOrder {
  std::string holder;
  std::uint64_t fence = 0;
  TimePoint when{};
};

/// Records the events observed by callers and replicas and checks them against
/// the guarantees of the service. The checks do not depend on the speed of the
/// machine. Not thread-safe.
class SoakRecord final {
 public:
  explicit SoakRecord(const Clock& clock) : clock_(clock) {}

  /// Records that this process handled its sockets `lag` too late. Recorded
  /// events may have happened earlier by this time, so that checks of time
  /// differences allow for the longest lag.
  void RecordOwnLag(Duration lag) { own_lag_ = std::max(own_lag_, lag); }

  /// Events of live requests, identified by the ID of the attempt.
  void RecordSent(const std::string& id, bool may_run_again);
  void RecordRun(const std::string& id);
  void RecordAnswer(const std::string& id, int status, const std::string& body);

  /// Records a submitted batch job. `items` are in order of submission;
  /// `oldest_allowed` is the lowest weight version allowed.
  void RecordSubmitted(const std::string& job, std::uint64_t oldest_allowed,
                       const std::vector<std::string>& items);
  void RecordAccepted(const std::string& job);
  /// Records that each submission of the job was refused without running any of
  /// it.
  void RecordRefused(const std::string& job);
  /// Records that the end of a job was acknowledged.
  void RecordEnded(const std::string& job);
  void RecordItemRun(const std::string& item);
  void RecordEvent(const std::string& item, std::uint64_t event,
                   std::uint64_t version);
  void RecordScored(const std::string& item);
  /// Checks the results that a read from position `after` returned.
  void RecordPage(const std::string& job, std::size_t after, std::size_t total,
                  const std::vector<ReadResult>& results);
  /// Checks a response that reported that the job does not exist.
  void RecordUnknownJob(const std::string& job);

  void RecordOrder(const std::string& replica, const ReceivedOrder& order);
  void RecordReplicaRestart(const std::string& replica) {
    orders_.erase(replica);
  }

  /// Records a violation: the name of the guarantee and what was observed.
  void Fail(const std::string& promise, const std::string& what);

  bool IsAccepted(const std::string& job) const;
  std::vector<std::string> AcceptedJobs() const;
  std::size_t ResultCount(const std::string& job) const;

  std::uint64_t checked() const { return checked_; }
  Duration own_lag() const { return own_lag_; }
  const std::vector<std::string>& violations() const { return violations_; }

  /// Return the expected response body of a request, the data of an item's
  /// event and the number of an item's events.
  static std::string BodyOf(const std::string& id);
  static std::string EventOf(const std::string& item, std::uint64_t event);
  static std::uint64_t EventCountOf(const std::string& item);

 private:
  struct Request {
    bool may_run_again = false;
    bool is_refused = false;
    int runs = 0;
  };
  struct Job {
    std::vector<std::string> items;
    std::uint64_t oldest_allowed = 0;
    std::optional<TimePoint> accepted;
    std::optional<TimePoint> ended;
    bool is_refused = false;
    /// Results by position, as first read.
    std::vector<ReadResult> results;
  };
  struct Item {
    std::string job;
    /// Versions that produced each event, over all runs.
    std::map<std::uint64_t, std::set<std::uint64_t>> event_versions;
    bool is_scored = false;
    bool is_listed = false;
  };

  void CheckResult(const std::string& job, const ReadResult& result);
  void CheckVersions(const std::string& job, const ReadResult& result);

  const Clock& clock_;
  std::map<std::string, Request> requests_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Item> items_;
  std::map<std::string, std::vector<ReceivedOrder>> orders_;
  std::uint64_t checked_ = 0;
  /// Longest lag recorded so far.
  Duration own_lag_{0};
  std::vector<std::string> violations_;
};

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_SOAK_RECORD_H_
