#ifndef BRIARSPREAD_CONTRACTS_COST_BUDGET_H_
#define BRIARSPREAD_CONTRACTS_COST_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace briarspread {

/// A token bucket filled by a fraction of the cost of all requests, which
/// bounds what extra attempts may cost over any time: at most `fraction` of
/// that cost plus `burst`. Thread-safe and lock-free.
class CostBudget {
 public:
  /// `fraction` of each cost is added, up to `burst`; the bucket starts full.
  /// Preconditions: neither is negative.
  CostBudget(double fraction, double burst);

  /// Adds the share of a request of this cost.
  void OnRequest(double cost);
  /// Takes `cost` if the bucket holds it.
  bool TryTake(double cost);

 private:
  /// Costs are counted in thousandths.
  static constexpr double kScale = 1000.0;

  /// Thousandths added per unit of cost.
  double fraction_;
  /// The bucket's size.
  std::int64_t burst_;
  /// What it holds.
  std::atomic<std::int64_t> held_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_COST_BUDGET_H_
