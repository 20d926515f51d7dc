#ifndef BRIARSPREAD_VERSIONS_ENGINE_CONTROL_H_
#define BRIARSPREAD_VERSIONS_ENGINE_CONTROL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/versions/version_planner.h"

namespace briarspread::versions {

/// How an engine goes over to another version.
enum class LoadMode {
  /// Requests that run go on, under the new version from then on.
  kKeepRunning,
  /// Requests that run end first.
  kWaitForRunning,
};

/// What an engine did with an order.
enum class OrderOutcome {
  kAccepted,
  /// The version was loaded already.
  kHolds,
  /// Another order is under way, or others came since.
  kBusy,
  /// It has seen a higher fencing number.
  kFenced,
  /// It cannot carry the order out.
  kRefused,
  /// No answer: it may carry the order out, now or later.
  kUnknown,
};

/// What an engine says of itself.
struct EngineReport {
  std::vector<forward::LoadedModel> loaded;
  /// Whether an order is under way.
  bool is_busy = false;
  /// Orders that it has accepted since its start.
  std::uint64_t orders = 0;
};

/// An order on its way.
struct SentOrder {
  VersionOrder order;
  LoadMode mode = LoadMode::kKeepRunning;
  FencingNumber fencing;
  /// Orders that the engine must have accepted before; it refuses otherwise, so
  /// that an order carried out late does not undo a later one.
  std::optional<std::uint64_t> expected_orders;
};

/// Speaks to engines. Functions are called once, from the loop.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  virtual void Send(const SentOrder& order,
                    std::function<void(OrderOutcome)> done) = 0;
  virtual void ReadReport(const UpstreamId& engine,
                          std::function<void(Result<EngineReport>)> done) = 0;
};

}  // namespace briarspread::versions

#endif  // BRIARSPREAD_VERSIONS_ENGINE_CONTROL_H_
