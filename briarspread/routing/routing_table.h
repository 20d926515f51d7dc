#ifndef BRIARSPREAD_ROUTING_ROUTING_TABLE_H_
#define BRIARSPREAD_ROUTING_ROUTING_TABLE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"
#include "briarspread/routing/circuit_breaker.h"
#include "briarspread/routing/routing_index.h"

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
  /// Own requests in flight when the report was asked for, so that later ones
  /// can be added to it.
  std::uint32_t own_in_flight = 0;
  /// Those of them that a trainer waits for.
  std::uint32_t own_rollouts = 0;
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
  /// Moving average of the time an exchange takes, in microseconds; zero before
  /// the first has ended.
  std::atomic<std::uint32_t> service_time_us{0};
};

/// This instance's place among those that use an upstream. The reserve for
/// live callers is shared out by it.
struct InstanceShare {
  /// Place from 0 to `count` - 1.
  std::uint32_t rank = 0;
  /// How many instances use the upstream; above zero.
  std::uint32_t count = 1;
};

/// One upstream as this instance sees it.
struct UpstreamView {
  /// Its row of the instance list.
  ListedInstance listed;
  /// Its last load report.
  LoadReport load;
  /// Own counts; never null.
  std::shared_ptr<UpstreamCounters> counters;
  /// Own share of it.
  InstanceShare share = {};
  /// Its circuit breaker; null for none.
  std::shared_ptr<CircuitBreaker> breaker = nullptr;
  /// Load as a fraction of slots when the table was published; set by
  /// `MakeRoutingTable`.
  double published_load = 0;
};

/// All upstreams at one time. Immutable once published.
struct RoutingTable {
  /// In the order of their names.
  std::vector<UpstreamView> upstreams;
  /// Where this instance stands.
  Locality self;
  /// `upstreams` by what they serve and how near they are; filled by
  /// `MakeRoutingTable`.
  RoutingIndex index;
};

/// Sorts and indexes `upstreams` for an instance at `self`. Links to other
/// regions come from `links`. Runs when a table is published, so that a
/// decision allocates nothing and scans only its own group. Thread-safe.
std::unique_ptr<RoutingTable> MakeRoutingTable(
    std::vector<UpstreamView> upstreams, const Locality& self,
    LinkBudget& links);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTING_TABLE_H_
