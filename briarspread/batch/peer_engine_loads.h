#ifndef BRIARSPREAD_BATCH_PEER_ENGINE_LOADS_H_
#define BRIARSPREAD_BATCH_PEER_ENGINE_LOADS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread::batch {

/// Number of items that one instance has in flight at each engine. Engines
/// without items are left out.
using EngineLoads = std::map<UpstreamId, std::uint32_t>;

/// Converts an instance's loads to JSON and back. Parsing returns nothing for
/// malformed text. Thread-safe.
std::string FormatEngineLoads(const EngineLoads& loads);
std::optional<EngineLoads> ParseEngineLoads(const std::string& text);

/// Load of each engine as reported by the other instances, so that several
/// instances do not fill the same slots. Not thread-safe.
class PeerEngineLoads final {
 public:
  /// Reports older than `time_to_live` are ignored. Precondition: `clock`
  /// outlives this object.
  PeerEngineLoads(Duration time_to_live, const Clock& clock)
      : time_to_live_(time_to_live), clock_(clock) {}

  /// Replaces the loads that the peer reported before.
  void Put(const InstanceId& peer, EngineLoads loads);
  /// Returns the number of items that all peers together have at an engine, by
  /// their reports that have not expired.
  std::uint32_t LoadAt(const UpstreamId& engine) const;
  /// Returns the share of `self` among the instances that run items, by their
  /// reports that have not expired. Their order differs for each engine.
  InstanceShare ShareOf(const UpstreamId& engine, const InstanceId& self) const;

 private:
  struct Report {
    EngineLoads loads;
    TimePoint received{};
  };

  void DropExpired() const;
  /// Removes a report's loads from the sums.
  void Subtract(const EngineLoads& loads) const;

  const Duration time_to_live_;
  const Clock& clock_;
  /// Reading drops what has expired, so that the sums need no timer.
  mutable std::map<InstanceId, Report> reports_;
  /// Sum of the reports at each engine, since placement reads them for
  /// thousands of engines.
  mutable EngineLoads sums_;
  /// No report was received before this time.
  mutable TimePoint oldest_{};
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_PEER_ENGINE_LOADS_H_
