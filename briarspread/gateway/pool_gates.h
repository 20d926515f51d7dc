#ifndef BRIARSPREAD_GATEWAY_POOL_GATES_H_
#define BRIARSPREAD_GATEWAY_POOL_GATES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "briarspread/admission/admission_gate.h"
#include "briarspread/core/rcu_cell.h"
#include "briarspread/routing/routing_table.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// Holds one admission gate for each model and service. The capacity of a gate
/// is derived from the slots that the upstreams report. Thread-safe.
class PoolGates {
 public:
  /// Precondition: `clock` outlives this object.
  explicit PoolGates(const Clock& clock);

  /// Creates gates and sets their capacity from the upstreams in `table`. Call
  /// from one thread only.
  void Update(const RoutingTable& table, const RuleSet& rules);

  /// Waits for a permit to send a request to `serves`, as
  /// `AdmissionGate::Enter` does. Returns `kNotFound` if no upstream serves it.
  Result<Permit> Enter(const std::string& serves,
                       const AdmissionRequest& request, TimePoint deadline);

  /// Refuses all waiting and later requests of the present gates.
  void Close();

 private:
  using Gates = std::map<std::string, std::shared_ptr<AdmissionGate>>;

  const Clock& clock_;
  /// Gates by model or service. A gate is never removed.
  RcuCell<Gates> gates_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_POOL_GATES_H_
