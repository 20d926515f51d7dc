#ifndef BRIARSPREAD_GATEWAY_CONTROL_STATE_H_
#define BRIARSPREAD_GATEWAY_CONTROL_STATE_H_

#include <atomic>
#include <memory>

#include "briarspread/core/rcu_cell.h"
#include "briarspread/routing/routing_table.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// What the control side publishes and the path of a request reads.
struct ControlState {
  /// The rules in force.
  RcuCell<RuleSet> rules{std::make_unique<const RuleSet>()};
  /// The upstreams.
  RcuCell<RoutingTable> routing{std::make_unique<const RoutingTable>()};
  /// Whether any rules have arrived; no request is served before.
  std::atomic<bool> has_rules{false};
  /// Whether the instance is shutting down and refuses new work.
  std::atomic<bool> draining{false};
  /// Entry instances listed; the fleet's limits are shared out by it.
  std::atomic<std::uint32_t> instances{1};
  /// Requests in flight, all kinds.
  std::atomic<std::int64_t> in_flight{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_CONTROL_STATE_H_
