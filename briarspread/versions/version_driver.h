#ifndef BRIARSPREAD_VERSIONS_VERSION_DRIVER_H_
#define BRIARSPREAD_VERSIONS_VERSION_DRIVER_H_

#include <map>
#include <optional>
#include <string>
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
  /// When an accepted order is first checked, and how often then.
  milliseconds first_check{950};
  milliseconds check_interval{400};
  /// An order whose effect is not seen by then is given again.
  milliseconds order_patience{6000};
  /// The pause after an engine refused or did not answer.
  milliseconds retry{1000};
};

/// Moves engines to the versions that trainers name, while this instance holds
/// the right to order them. Loop's thread only.
class VersionDriver final {
 public:
  /// Precondition: references outlive this object.
  VersionDriver(asio::io_context& loop, const Clock& clock, OrderLease& right,
                forward::UpstreamDirectory& directory,
                const forward::ConfigurationHolder& configuration,
                EngineControl& control, const VersionDriverSettings& settings);

  void Start();
  /// A trainer has named a version. A lower one than known changes nothing.
  void SetTarget(const ModelName& model, WeightVersion version);
  const std::map<ModelName, WeightVersion>& targets() const { return targets_; }
  std::uint64_t orders_sent() const { return orders_sent_; }

 private:
  /// What is known of orders to one engine.
  struct EngineOrders {
    /// The order whose effect is awaited.
    std::optional<VersionOrder> awaited;
    TimePoint sent{};
    TimePoint next_check{};
    /// No order before then.
    TimePoint not_before{};
    bool is_calling = false;
    /// Orders that the engine has accepted, where known.
    std::optional<std::uint64_t> accepted;
    /// The start of the engine that all this belongs to.
    std::uint64_t start_id = 0;
  };

  void Tick();
  void PlanService(const ServiceName& service,
                   const std::vector<ModelTarget>& targets, LoadMode mode);
  EngineOrders& OrdersOf(const forward::KnownUpstream& engine);
  void Give(const VersionOrder& order, LoadMode mode);
  void Send(const VersionOrder& order, LoadMode mode);
  void OnOutcome(const VersionOrder& order, OrderOutcome outcome);
  void CheckAwaited(const UpstreamId& id, EngineOrders& orders, TimePoint now);
  void ReadReport(const UpstreamId& id, std::function<void()> then);
  LoadMode ModeOf(const ServiceName& service) const;

  const Clock& clock_;
  OrderLease& right_;
  forward::UpstreamDirectory& directory_;
  const forward::ConfigurationHolder& configuration_;
  EngineControl& control_;
  const VersionDriverSettings settings_;
  const VersionPlanner planner_;
  LoopTimer timer_;
  std::map<ModelName, WeightVersion> targets_;
  std::map<UpstreamId, EngineOrders> engines_;
  std::uint64_t orders_sent_ = 0;
};

}  // namespace briarspread::versions

#endif  // BRIARSPREAD_VERSIONS_VERSION_DRIVER_H_
