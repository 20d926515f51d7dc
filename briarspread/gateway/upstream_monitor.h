#ifndef BRIARSPREAD_GATEWAY_UPSTREAM_MONITOR_H_
#define BRIARSPREAD_GATEWAY_UPSTREAM_MONITOR_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "briarspread/core/instance_list.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/gateway/gateway_context.h"
#include "briarspread/gateway/pool_gates.h"
#include "briarspread/routing/circuit_breaker_registry.h"
#include "briarspread/routing/link_budget.h"
#include "briarspread/routing/refusal_tracker.h"

namespace briarspread {

/// Settings of `UpstreamMonitor`.
struct UpstreamMonitorSettings {
  /// Where this instance stands.
  Locality self;
  /// How often the list and the loads are read.
  milliseconds interval{1000};
  /// How long an upstream may take to tell its load.
  milliseconds load_timeout{500};
  /// Loads read at once, so that frozen upstreams do not delay the others.
  std::size_t readers = 8;
};

/// Reads the platform's instance list and the upstreams' loads, and publishes
/// the routing table. One thread of its own, and a pool for the reads.
class UpstreamMonitor {
 public:
  /// Told of each list that was read, on the monitor's thread.
  using OnListed = std::function<void(const std::vector<ListedInstance>&)>;

  /// Preconditions: all arguments outlive this object.
  UpstreamMonitor(const UpstreamMonitorSettings& settings,
                  const GatewayContext& context, InstanceList& list,
                  UpstreamClient& client, PoolGates& gates, OnListed on_listed);
  ~UpstreamMonitor();
  UpstreamMonitor(const UpstreamMonitor&) = delete;
  UpstreamMonitor& operator=(const UpstreamMonitor&) = delete;

  /// Starts the thread.
  void Start();
  /// Ends it.
  void Stop();

  /// Where refused requests are reported. Thread-safe.
  RefusalTracker& refusals() { return refusals_; }

 private:
  void Run();
  void Poll();
  UpstreamView ViewOf(const ListedInstance& listed, const InstanceShare& share);
  void ReadLoad(UpstreamView& upstream);
  InstanceShare ShareOfEntries() const;

  const UpstreamMonitorSettings settings_;
  const GatewayContext context_;
  InstanceList& list_;
  UpstreamClient& client_;
  PoolGates& gates_;
  const OnListed on_listed_;
  RefusalTracker refusals_;
  CircuitBreakerRegistry breakers_;
  LinkBudget links_;
  /// Counts by upstream, kept over changes of the list.
  std::map<std::string, std::shared_ptr<UpstreamCounters>> counters_;
  /// Last load reports by upstream, for those that do not answer.
  std::map<std::string, LoadReport> loads_;
  /// The last list that was read.
  std::vector<ListedInstance> listed_;
  /// Guards `stopping_`.
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_UPSTREAM_MONITOR_H_
