#include "briarspread/gateway/pool_gates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarspread {
namespace {

/// Slots assumed of an upstream that has not told its load yet.
constexpr double kAssumedSlots = 16;
/// How far an instance may go beyond its equal share of the slots, since
/// callers do not spread evenly; the engines queue the rest by priority.
constexpr double kOvercommit = 2.0;
constexpr std::uint32_t kLeastSlots = 4;

/// This instance's share of the slots of each model and service.
std::map<std::string, double> SlotsByPool(const RoutingTable& table) {
  std::map<std::string, double> slots;
  for (const UpstreamView& upstream : table.upstreams) {
    const double reported = upstream.load.slots;
    slots[upstream.listed.serves] +=
        (reported > 0 ? reported : kAssumedSlots) / upstream.share.count;
  }
  return slots;
}

AdmissionCapacity CapacityOf(double slots, double reserve) {
  AdmissionCapacity capacity;
  capacity.slots = std::max(
      kLeastSlots, static_cast<std::uint32_t>(std::ceil(slots * kOvercommit)));
  const double rollouts = std::floor(slots * (1.0 - reserve));
  capacity.rollout_slots = std::min(
      capacity.slots, std::max(1U, static_cast<std::uint32_t>(rollouts)));
  return capacity;
}

}  // namespace

PoolGates::PoolGates(const Clock& clock)
    : clock_(clock), gates_(std::make_unique<const Gates>()) {}

void PoolGates::Update(const RoutingTable& table, const RuleSet& rules) {
  auto gates = std::make_unique<Gates>(*gates_.Read());
  for (const auto& [serves, slots] : SlotsByPool(table)) {
    const AdmissionCapacity capacity =
        CapacityOf(slots, rules.ReserveOf(serves));
    auto& gate = (*gates)[serves];
    if (gate == nullptr) {
      gate = std::make_shared<AdmissionGate>(AdmissionQueueSettings{}, capacity,
                                             clock_);
    } else {
      gate->SetCapacity(capacity);
    }
  }
  gates_.Publish(std::move(gates));
}

Result<Permit> PoolGates::Enter(const std::string& serves,
                                const AdmissionRequest& request,
                                TimePoint deadline) {
  std::shared_ptr<AdmissionGate> gate;
  {
    const auto gates = gates_.Read();
    const auto it = gates->find(serves);
    if (it != gates->end()) gate = it->second;
  }
  if (gate == nullptr) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun,
                 "no upstream serves '" + serves + "'"};
  }
  return gate->Enter(request, deadline);
}

void PoolGates::Close() {
  const auto gates = gates_.Read();
  for (const auto& [serves, gate] : *gates) gate->Close();
}

}  // namespace briarspread
