#ifndef BRIARSPREAD_ROUTING_REFUSAL_TRACKER_H_
#define BRIARSPREAD_ROUTING_REFUSAL_TRACKER_H_

#include <map>
#include <memory>
#include <mutex>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread {

/// Result of one health check of an upstream.
struct HealthCheckResult {
  /// Time at which the check was sent.
  TimePoint started{};
  /// Whether the check succeeded, which means that the upstream responded that
  /// it accepts requests.
  bool accepts_work = false;
};

/// Settings of a `RefusalTracker`.
struct RefusalTrackerSettings {
  /// Time after a refusal (the hold) in which the upstream gets no new
  /// requests, even if its health checks succeed. Doubled by each refusal after
  /// the end of a hold.
  Duration initial_hold = std::chrono::seconds(10);
  /// Maximum length of a hold.
  Duration max_hold = std::chrono::minutes(10);
};

/// Detects upstreams that are leaving or accept no requests before the instance
/// list shows it, as the list lags: a single refused request or failed health
/// check is enough. Sets `UpstreamCounters::refuses_work`. Thread-safe. Takes a
/// lock, but is called only for refusals and health checks, not for other
/// requests.
class RefusalTracker {
 public:
  explicit RefusalTracker(const RefusalTrackerSettings& settings);

  /// Called when the upstream refused a request because it accepts none.
  void OnRefusal(const UpstreamId& upstream, UpstreamCounters& counters,
                 TimePoint now);
  /// Called when a health check has ended. A successful check makes the
  /// upstream available again if the check was sent after the last refusal and
  /// the hold is over.
  void OnHealthCheck(const UpstreamId& upstream, UpstreamCounters& counters,
                     const HealthCheckResult& check, TimePoint now);
  /// Removes the state of an upstream that is no longer listed.
  void RemoveUpstream(const UpstreamId& upstream);

 private:
  /// State of one upstream that refused a request.
  struct Refusal {
    /// Time of the last refusal.
    TimePoint last{};
    /// End of the current or last hold.
    TimePoint hold_end{};
    /// Length of the next hold; zero before the first one.
    Duration next_hold{};
  };

  const RefusalTrackerSettings settings_;
  /// Guards `refusals_`.
  std::mutex mutex_;
  /// Upstreams that refused a request since they were first listed.
  std::map<UpstreamId, Refusal> refusals_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_REFUSAL_TRACKER_H_
