#include "briarspread/gateway/pool_gates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarspread {
namespace {

/// Number of slots assumed for an upstream that has not reported its load yet.
constexpr double kAssumedSlots = 16;
/// Factor by which an instance may exceed its equal share of the slots, since
/// callers are not spread evenly; the engines queue the excess by priority.
constexpr double kOvercommit = 2.0;
constexpr std::uint32_t kMinSlots = 4;

/// The slots of one model or service.
struct PoolSlots {
  /// Total slots of all upstreams that serve the model or service.
  double all = 0;
  /// Sum of this instance's equal share of each upstream's slots.
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

/// Returns the capacity of a gate. Rollouts may use all slots except the
/// reserve, since one instance may run the only step; the router bounds the sum
/// over all instances.
AdmissionCapacity CapacityOf(const PoolSlots& slots, double reserve) {
  const double rollouts = std::floor(slots.all * (1.0 - reserve));
  const double live = std::ceil(slots.own * kOvercommit);
  AdmissionCapacity capacity;
  capacity.rollout_slots = std::max(1U, static_cast<std::uint32_t>(rollouts));
  capacity.slots = capacity.rollout_slots +
                   std::max(kMinSlots, static_cast<std::uint32_t>(live));
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
