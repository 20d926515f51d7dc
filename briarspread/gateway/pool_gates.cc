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

/// The slots of one model or service.
struct PoolSlots {
  /// All of them.
  double all = 0;
  /// This instance's equal share.
  double own = 0;
};

std::map<std::string, PoolSlots> SlotsByPool(const RoutingTable& table) {
  std::map<std::string, PoolSlots> pools;
  for (const UpstreamView& upstream : table.upstreams) {
    const double reported = upstream.load.slots;
    const double slots = reported > 0 ? reported : kAssumedSlots;
    PoolSlots& pool = pools[upstream.listed.serves];
    pool.all += slots;
    pool.own += slots / upstream.share.count;
  }
  return pools;
}

/// Rollouts may take all slots but the reserve, since one instance may run the
/// only step; the router holds the sum over the instances to it.
AdmissionCapacity CapacityOf(const PoolSlots& slots, double reserve) {
  const double rollouts = std::floor(slots.all * (1.0 - reserve));
  const double live = std::ceil(slots.own * kOvercommit);
  AdmissionCapacity capacity;
  capacity.rollout_slots = std::max(1U, static_cast<std::uint32_t>(rollouts));
  capacity.slots = capacity.rollout_slots +
                   std::max(kLeastSlots, static_cast<std::uint32_t>(live));
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
