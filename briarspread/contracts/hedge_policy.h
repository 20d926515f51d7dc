#ifndef BRIARSPREAD_CONTRACTS_HEDGE_POLICY_H_
#define BRIARSPREAD_CONTRACTS_HEDGE_POLICY_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>
#include <optional>

#include "briarspread/contracts/cost_budget.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Settings of hedging for one class of requests.
struct HedgeSettings {
  /// A hedge is sent when the first attempt has taken longer than this quantile
  /// of the class's latency.
  double quantile = 0.95;
  /// Minimum number of latency samples before hedges are sent.
  std::size_t min_samples = 100;
  /// Limit on the cost of hedges as a fraction of the cost of all requests.
  double cost_fraction = 0.05;
  /// Cost of hedges allowed in a burst above that fraction, in tokens.
  double cost_burst = 20'000;
};

/// Decides when a slow idempotent request is also sent to a second upstream.
/// Thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeSettings settings);

  /// Counts the first attempt of a request that costs `cost` tokens.
  void OnRequest(TokenCount cost);
  /// Adds the latency of the response to a first attempt to the estimate.
  void OnResponse(milliseconds latency);
  /// Returns how long to wait for the first attempt before sending a hedge;
  /// nothing while there are fewer than `min_samples` latencies.
  std::optional<milliseconds> HedgeDelay() const;
  /// Returns whether to send the hedge now, and counts its cost if so. Returns
  /// false if the request is not idempotent, is past its deadline, or exceeds
  /// the cost budget.
  bool TryHedge(bool idempotent, TokenCount cost, TimePoint now,
                TimePoint deadline);

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;

  HedgeSettings settings_;
  /// Limits the cost of hedges, in tokens.
  CostBudget budget_;
  /// Guards `latency_`.
  mutable std::mutex mutex_;
  /// Estimates the latency quantile in milliseconds.
  Quantile latency_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HEDGE_POLICY_H_
