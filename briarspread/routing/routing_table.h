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
#include "briarspread/routing/slow_start.h"
#include "briarspread/routing/slowness_estimate.h"

namespace briarspread {

/// The last load report of an upstream, which lags behind its current load.
struct LoadReport {
  /// Number of requests running.
  std::uint32_t running = 0;
  /// Number of requests waiting.
  std::uint32_t queued = 0;
  /// Number of requests that can run at the same time; zero before the first
  /// report.
  std::uint32_t slots = 0;
  /// Weight version that is loaded; zero for services without a model.
  WeightVersion version{0};
  /// Time at which the report was received.
  TimePoint received{};
  /// Number of this instance's requests in flight when the report was
  /// requested, so that later changes can be added to the report.
  std::uint32_t own_in_flight = 0;
  /// Number of rollouts among `own_in_flight`.
  std::uint32_t own_rollouts = 0;
  /// How long work takes on the upstream's machine; normal where the upstream
  /// does not report it.
  SlownessEstimate slowness{};
};

/// This instance's counters for one upstream, shared by all routing tables that
/// contain the upstream. Thread-safe.
struct UpstreamCounters {
  /// Number of this instance's requests in flight.
  std::atomic<std::uint32_t> in_flight{0};
  /// Number of rollouts among `in_flight`.
  std::atomic<std::uint32_t> rollouts_in_flight{0};
  /// Number of consecutive failed exchanges.
  std::atomic<std::uint32_t> failures_in_row{0};
  /// Whether the upstream accepts no requests, as shown by a refusal or a
  /// failed health check.
  std::atomic<bool> refuses_work{false};
  /// Moving average of the duration of an exchange, in microseconds, at the
  /// usual speed of the upstream's machine; zero before the first exchange has
  /// ended.
  std::atomic<std::uint32_t> service_time_us{0};
};

/// This instance's rank among the instances that use an upstream. Determines
/// its share of the upstream's slots for rollouts.
struct InstanceShare {
  /// Rank, from 0 to `count` - 1.
  std::uint32_t rank = 0;
  /// Number of instances that use the upstream; above zero.
  std::uint32_t count = 1;
};

/// The slow start of an upstream, as routing sees it. Not thread-safe.
struct PacedUpstream {
  SlowStart limit;
  /// This instance's rank among the instances that use the upstream.
  InstanceShare share;
  /// Number of routing decisions in which the limit kept a request away.
  std::uint64_t held_back = 0;
};

/// What this instance knows about one upstream.
struct UpstreamView {
  /// The upstream's entry in the instance list.
  ListedInstance listed;
  /// The upstream's last load report.
  LoadReport load;
  /// This instance's counters for the upstream; never null.
  std::shared_ptr<UpstreamCounters> counters;
  /// This instance's share of the upstream.
  InstanceShare share = {};
  /// The upstream's circuit breaker; null if it has none.
  std::shared_ptr<CircuitBreaker> breaker = nullptr;
  /// The upstream's slow start; null if it is not in one. A table with slow
  /// starts must be used on one thread only.
  std::shared_ptr<PacedUpstream> slow_start = nullptr;
  /// Estimated load, as a fraction of the slots, when the table was built; set
  /// by `MakeRoutingTable`.
  double published_load = 0;
};

/// Snapshot of all upstreams. Immutable once published, except for the counters
/// and breakers.
struct RoutingTable {
  /// Upstreams sorted by name.
  std::vector<UpstreamView> upstreams;
  /// Locality of this instance.
  Locality self;
  /// Index of `upstreams` by model or service and nearness; filled by
  /// `MakeRoutingTable`.
  RoutingIndex index;
};

/// Builds a routing table of `upstreams` for an instance at `self`, with links
/// to other regions from `links`. Sorting and indexing are done here, before
/// the table is published, so that a routing decision allocates no memory and
/// scans only the groups that it considers. Thread-safe.
std::unique_ptr<RoutingTable> MakeRoutingTable(
    std::vector<UpstreamView> upstreams, const Locality& self,
    LinkBudget& links);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_ROUTING_TABLE_H_
