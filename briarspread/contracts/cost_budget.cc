#include "briarspread/contracts/cost_budget.h"

#include <algorithm>
#include <cassert>

namespace briarspread {

CostBudget::CostBudget(double fraction, double burst)
    : fraction_(fraction * kScale),
      burst_(static_cast<std::int64_t>(burst * kScale)),
      available_(burst_) {
  assert(fraction >= 0 && burst >= 0);
}

void CostBudget::OnRequest(double cost) {
  const auto share = static_cast<std::int64_t>(cost * fraction_);
  std::int64_t held = available_.load(std::memory_order_relaxed);
  while (!available_.compare_exchange_weak(held, std::min(burst_, held + share),
                                           std::memory_order_relaxed)) {
  }
}

bool CostBudget::TryTake(double cost) {
  const auto wanted = static_cast<std::int64_t>(cost * kScale);
  std::int64_t held = available_.load(std::memory_order_relaxed);
  while (held >= wanted) {
    if (available_.compare_exchange_weak(held, held - wanted,
                                         std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace briarspread
