#ifndef BRIARSPREAD_ROUTING_ROUTING_TABLE_H_
#define BRIARSPREAD_ROUTING_ROUTING_TABLE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// What an upstream last said of its load. It lags.
struct LoadReport {
  /// Requests that run.
  std::uint32_t running = 0;
  /// Requests that wait.
  std::uint32_t queued = 0;
  /// Requests that can run at once; zero before the first report.
  std::uint32_t slots = 0;
  /// The weight version loaded; zero for plain services.
  WeightVersion version{0};
  /// When the report arrived.
  TimePoint received{};
};

/// This instance's own counts for one upstream, shared by all snapshots that
/// hold it. All members are safe to use from any thread.
struct UpstreamCounters {
  /// Own requests in flight.
  std::atomic<std::uint32_t> in_flight{0};
  /// Own requests in flight that a trainer waits for.
  std::atomic<std::uint32_t> rollouts_in_flight{0};
  /// Exchanges that failed in a row.
  std::atomic<std::uint32_t> failures_in_row{0};
  /// Whether it refused work or is known to leave.
  std::atomic<bool> refuses_work{false};
};

/// One upstream as this instance sees it.
struct UpstreamView {
  /// Its row of the instance list.
  ListedInstance listed;
  /// Its last load report.
  LoadReport load;
  /// Own counts; never null.
  std::shared_ptr<UpstreamCounters> counters;
};

/// All upstreams at one time. Immutable once published.
struct RoutingTable {
  /// In the order of their names.
  std::vector<UpstreamView> upstreams;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTING_TABLE_H_
