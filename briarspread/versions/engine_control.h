#ifndef BRIARSPREAD_VERSIONS_ENGINE_CONTROL_H_
#define BRIARSPREAD_VERSIONS_ENGINE_CONTROL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/versions/version_planner.h"

namespace briarspread::versions {

/// What happens to an engine's running requests when it loads a version.
enum class LoadMode {
  /// Running requests continue with the new version once it is loaded.
  kKeepRunning,
  /// Running requests complete before the version is loaded.
  kWaitForRunning,
};

/// An engine's response to an order.
enum class OrderOutcome {
  kAccepted,
  /// The engine already has the version.
  kAlreadyLoaded,
  /// The engine is executing another order, or has accepted a different number
  /// of orders than `SentOrder::expected_orders`.
  kBusy,
  /// The engine has seen a higher fencing number.
  kFenced,
  /// The engine cannot execute the order.
  kRefused,
  /// No response: the engine may execute the order, now or later.
  kUnknown,
};

/// An engine's status as reported by the engine.
struct EngineReport {
  std::vector<forward::LoadedModel> loaded;
  /// Whether the engine is executing an order.
  bool is_busy = false;
  /// Number of orders that the engine has accepted since its start.
  std::uint64_t orders = 0;
};

/// An order as sent to an engine.
struct SentOrder {
  VersionOrder order;
  LoadMode mode = LoadMode::kKeepRunning;
  FencingNumber fencing;
  /// Number of orders that the engine must have accepted before this one; the
  /// engine rejects the order otherwise, so that a delayed order cannot undo a
  /// later one.
  std::optional<std::uint64_t> expected_orders;
};

/// Sends orders to engines and reads their reports. Each `done` is called
/// exactly once, from the loop.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// Returns whether one call may be sent to the engine now. If it may not,
  /// since the engine limits its requests, a later attempt may succeed.
  virtual bool TryAdmit(const UpstreamId& engine) = 0;
  virtual void Send(const SentOrder& order,
                    std::function<void(OrderOutcome)> done) = 0;
  virtual void ReadReport(const UpstreamId& engine,
                          std::function<void(Result<EngineReport>)> done) = 0;
};

}  // namespace briarspread::versions

#endif  // BRIARSPREAD_VERSIONS_ENGINE_CONTROL_H_
