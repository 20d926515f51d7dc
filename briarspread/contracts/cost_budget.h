#ifndef BRIARSPREAD_CONTRACTS_COST_BUDGET_H_
#define BRIARSPREAD_CONTRACTS_COST_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace briarspread {

/// A token bucket that is refilled with a fraction of the cost of each request.
/// Limits the cost of extra attempts over any period to `fraction` of the cost
/// of the requests plus `burst`. Thread-safe and lock-free.
class CostBudget {
 public:
  /// Creates a full bucket of capacity `burst`. Preconditions: `fraction` and
  /// `burst` are not negative.
  CostBudget(double fraction, double burst);

  /// Adds the fraction of the cost of one request to the bucket.
  void OnRequest(double cost);
  /// Removes `cost` from the bucket and returns true if the bucket holds that
  /// much; otherwise changes nothing and returns false.
  bool TryTake(double cost);

 private:
  /// The bucket counts thousandths of the unit of cost.
  static constexpr double kScale = 1000.0;

  /// Thousandths added per unit of cost.
  double fraction_;
  /// Capacity of the bucket, in thousandths.
  std::int64_t burst_;
  /// Current content of the bucket, in thousandths.
  std::atomic<std::int64_t> available_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_COST_BUDGET_H_
