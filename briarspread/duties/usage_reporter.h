#ifndef BRIARSPREAD_DUTIES_USAGE_REPORTER_H_
#define BRIARSPREAD_DUTIES_USAGE_REPORTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/async_store.h"
#include "briarspread/duties/control_api.h"
#include "briarspread/duties/true_time.h"
#include "briarspread/duties/usage_counter.h"
#include "briarspread/fleet/order_lease.h"

namespace briarspread::duties {

/// Settings of `UsageReporter`.
struct UsageReporterSettings {
  /// Time from a window's end to the decision of its report, within which the
  /// counts of other instances arrive.
  milliseconds decision_delay{2000};
  /// Pause before a failed call to the store is repeated.
  milliseconds store_pause{500};
  /// Pause before a report is sent again: doubled with each failure, up to the
  /// maximum.
  milliseconds min_send_pause{500};
  milliseconds max_send_pause{2000};
  /// Maximum age of windows that a new holder still reports after an outage of
  /// the whole fleet.
  seconds max_backlog{3600};
};

/// Numbers of events since the start.
struct UsageReporterMetrics {
  std::uint64_t decided = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

/// Decides and sends the usage report of each window while this instance holds
/// the order lease. A report is written to the store before it is sent for the
/// first time, on the conditions that there is none for its window and that the
/// lease's record is this holder's; so a write of an earlier holder that takes
/// effect late is refused, and only counts from the store are ever sent.
/// Reports are sent one at a time, the oldest first. An acknowledged report is
/// removed by the write of a later one; the last one stays in the store and
/// names the next window to a new holder. Loop's thread only.
class UsageReporter final {
 public:
  /// Prefix of the store keys of reports; the window follows, in digits of
  /// fixed width.
  static constexpr char kPrefix[] = "usage/";
  /// Key that names the window in which the fleet started.
  static constexpr char kStartKey[] = "usage/start";

  /// Precondition: references outlive this object and its calls in flight.
  UsageReporter(AsyncStore& store, OrderLease& order_lease,
                UsageCounter& counter, const TrueTime& true_time,
                ControlApi& api, const Clock& clock,
                const UsageReporterSettings& settings);

  /// Decides and sends what is due. To be called about five times a second.
  void Step();
  const UsageReporterMetrics& metrics() const { return metrics_; }
  /// Returns the time since the end of the oldest window that this holder has
  /// not reported; zero for none, or if this instance is not the holder.
  Duration OldestUnreportedAge() const;

 private:
  /// A report as it stands in the store.
  struct StoredReport {
    UsageWindow window;
    std::string value;
  };

  /// Returns the last window that is to be decided now.
  UsageWindow LastDue() const;
  bool HasWork() const;
  /// Forgets what belongs to an earlier fencing number of the lease.
  void BeginTenure(FencingNumber fencing);
  /// Reads the reports of earlier holders.
  void Load();
  void OnLoaded(const StoreListing& listing);
  /// Writes the window in which the fleet started to the store, so that a later
  /// holder begins with it even if none of the first instances is left.
  void WriteStart(UsageWindow start);
  /// Sets the first window to decide. The reports of earlier holders are known
  /// now.
  void BeginWith(UsageWindow next);
  /// Skips windows that are older than `max_backlog`.
  void SkipOld();
  /// Writes the report of window `next_` to the store.
  void Decide();
  void OnWritten(const Result<StoreOutcome>& outcome);
  void OnConflict(const StoreConflict& conflict);
  void OnDecided(std::string value);
  void SendOldest();
  void OnSent(UsageWindow window, ReportOutcome outcome);
  void PauseSending();

  AsyncStore& store_;
  OrderLease& order_lease_;
  UsageCounter& counter_;
  const TrueTime& true_time_;
  ControlApi& api_;
  const Clock& clock_;
  const UsageReporterSettings settings_;
  /// The lease's fencing number that the state below belongs to; zero for none.
  FencingNumber tenure_;
  bool is_loaded_ = false;
  /// The first window that is not decided.
  UsageWindow next_;
  /// The report of `next_` once its counts were read; kept until the store has
  /// answered, so that repeated writes do not differ.
  std::optional<std::string> deciding_;
  std::deque<StoredReport> unsent_;
  /// Acknowledged reports that are still in the store.
  std::vector<UsageWindow> removable_;
  bool is_store_call_in_flight_ = false;
  /// Not reset with the tenure: a call with an earlier fencing number must have
  /// ended before one with a later number is sent.
  bool is_send_in_flight_ = false;
  TimePoint store_blocked_until_{};
  TimePoint send_blocked_until_{};
  milliseconds send_pause_{0};
  UsageReporterMetrics metrics_;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_USAGE_REPORTER_H_
