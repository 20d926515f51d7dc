#ifndef BRIARSPREAD_GATEWAY_CONTROL_STATE_H_
#define BRIARSPREAD_GATEWAY_CONTROL_STATE_H_

#include <atomic>
#include <memory>

#include "briarspread/core/rcu_cell.h"
#include "briarspread/routing/routing_table.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// State that control threads publish and request handlers read. Thread-safe.
struct ControlState {
  /// The rules in force.
  RcuCell<RuleSet> rules{std::make_unique<const RuleSet>()};
  /// The known upstreams and their loads.
  RcuCell<RoutingTable> routing{std::make_unique<const RoutingTable>()};
  /// Whether rules have been received; requests are refused until then.
  std::atomic<bool> has_rules{false};
  /// Whether the instance is shutting down and refuses new work.
  std::atomic<bool> draining{false};
  /// The number of listed entry instances. Each instance enforces its share of
  /// the fleet-wide limits.
  std::atomic<std::uint32_t> instances{1};
  /// The number of requests in flight, of all kinds.
  std::atomic<std::int64_t> in_flight{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_CONTROL_STATE_H_
