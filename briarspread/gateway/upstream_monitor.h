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
  /// The locality of this instance.
  Locality self;
  /// Interval at which the instance list and the loads are read.
  milliseconds interval{1000};
  /// Timeout of reading the load of an upstream.
  milliseconds load_timeout{500};
  /// Number of loads read in parallel, so that unresponsive upstreams do not
  /// delay the others.
  std::size_t readers = 8;
};

/// Reads the platform's instance list and the upstreams' loads, and publishes
/// the routing table. Runs its own thread, and a thread pool for the loads.
class UpstreamMonitor {
 public:
  /// Called with each list that was read, on the monitor's thread.
  using OnListed = std::function<void(const std::vector<ListedInstance>&)>;

  /// Precondition: all arguments outlive this object.
  UpstreamMonitor(const UpstreamMonitorSettings& settings,
                  const GatewayContext& context, InstanceList& list,
                  UpstreamClient& client, PoolGates& gates, OnListed on_listed);
  ~UpstreamMonitor();
  UpstreamMonitor(const UpstreamMonitor&) = delete;
  UpstreamMonitor& operator=(const UpstreamMonitor&) = delete;

  /// Starts the thread.
  void Start();
  /// Stops and joins the thread.
  void Stop();

  /// Returns the tracker to which refused requests are reported. Thread-safe.
  RefusalTracker& refusals() { return refusals_; }

 private:
  void Run();
  void Poll();
  UpstreamView MakeView(const ListedInstance& listed,
                        const InstanceShare& share);
  void ReadLoad(UpstreamView& upstream);
  InstanceShare ComputeShare() const;

  const UpstreamMonitorSettings settings_;
  const GatewayContext context_;
  InstanceList& list_;
  UpstreamClient& client_;
  PoolGates& gates_;
  const OnListed on_listed_;
  RefusalTracker refusals_;
  CircuitBreakerRegistry breakers_;
  LinkBudget links_;
  /// Counters by upstream, kept when the list changes.
  std::map<std::string, std::shared_ptr<UpstreamCounters>> counters_;
  /// The last load reported by each upstream, used while it does not respond.
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
