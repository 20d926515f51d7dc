#ifndef BRIARSPREAD_VERSIONS_VERSION_DRIVER_H_
#define BRIARSPREAD_VERSIONS_VERSION_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/order_lease.h"
#include "briarspread/forward/configuration.h"
#include "briarspread/versions/engine_control.h"

namespace briarspread::versions {

/// Settings of the driver.
struct VersionDriverSettings {
  VersionPlannerSettings planner;
  milliseconds tick{100};
  /// Time from sending an order to the first check of its effect.
  milliseconds first_check{950};
  /// Time between two further checks.
  milliseconds check_interval{400};
  /// Time after which an order without a visible effect may be sent again.
  milliseconds order_timeout{6000};
  /// Delay before an engine that rejected an order, or did not report, is
  /// called again.
  milliseconds retry_delay{1000};
};

/// Orders engines to load the versions that trainers name, while this instance
/// holds the order lease. Loop's thread only.
class VersionDriver final {
 public:
  /// Precondition: references outlive this object.
  VersionDriver(asio::io_context& loop, const Clock& clock,
                OrderLease& order_lease, forward::UpstreamDirectory& directory,
                const forward::ConfigurationHolder& configuration,
                EngineControl& control, const VersionDriverSettings& settings);

  /// Returns the number of items of a model that run at once; nothing if
  /// unknown.
  using ItemsAtOnce =
      std::function<std::optional<std::uint64_t>(const ModelName&)>;

  void Start();
  /// Sets the source of the numbers that limit on how many engines a version is
  /// loaded. Without one, each version gets an equal share of the engines.
  void SetItemsAtOnce(ItemsAtOnce source) {
    items_at_once_ = std::move(source);
  }
  /// Sets the version that a trainer has named. Has no effect unless the
  /// version is higher than the current target.
  void SetTarget(const ModelName& model, WeightVersion version);
  const std::map<ModelName, WeightVersion>& targets() const { return targets_; }
  std::uint64_t orders_sent() const { return orders_sent_; }

 private:
  /// State of the orders to one engine.
  struct EngineOrders {
    /// The order whose effect is awaited.
    std::optional<VersionOrder> awaited;
    TimePoint sent{};
    TimePoint next_check{};
    /// No order is sent before this time.
    TimePoint blocked_until{};
    bool is_call_in_flight = false;
    /// Number of orders that the engine has accepted; nothing if not known.
    std::optional<std::uint64_t> accepted_orders;
    /// The engine's start that this state belongs to; after a restart the state
    /// is reset.
    std::uint64_t start_id = 0;
  };

  void Tick();
  void PlanService(const ServiceName& service,
                   const std::vector<ModelTarget>& targets, LoadMode mode);
  /// Returns the engine's state, reset if the engine has restarted.
  EngineOrders& OrdersOf(const forward::KnownUpstream& engine);
  /// Sends an order, after reading the engine's report if its number of
  /// accepted orders is not known.
  void IssueOrder(const VersionOrder& order, LoadMode mode);
  void Send(const VersionOrder& order, LoadMode mode);
  void OnOutcome(const VersionOrder& order, OrderOutcome outcome);
  /// Ends the wait for an order that took effect or timed out; reads the
  /// engine's report if a check is due.
  void CheckAwaitedOrder(const UpstreamId& id, EngineOrders& orders,
                         TimePoint now);
  /// Reads an engine's report, updates the directory, and calls `then` if the
  /// report was received.
  void ReadReport(const UpstreamId& id, std::function<void()> then);
  /// Returns the mode in which a service's engines load versions.
  LoadMode LoadModeOf(const ServiceName& service) const;

  const Clock& clock_;
  OrderLease& order_lease_;
  forward::UpstreamDirectory& directory_;
  const forward::ConfigurationHolder& configuration_;
  EngineControl& control_;
  const VersionDriverSettings settings_;
  const VersionPlanner planner_;
  ItemsAtOnce items_at_once_;
  LoopTimer timer_;
  std::map<ModelName, WeightVersion> targets_;
  std::map<UpstreamId, EngineOrders> engines_;
  std::uint64_t orders_sent_ = 0;
};

}  // namespace briarspread::versions

#endif  // BRIARSPREAD_VERSIONS_VERSION_DRIVER_H_
