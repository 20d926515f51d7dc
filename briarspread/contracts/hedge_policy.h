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

/// Settings of hedging, for one class of requests.
struct HedgeSettings {
  /// A second attempt is made after this quantile of the class's latency.
  double quantile = 0.95;
  /// Answers needed before the quantile is used.
  std::size_t min_samples = 100;
  /// What hedges may cost, as a fraction of all requests' cost, and at once.
  double cost_fraction = 0.05;
  double cost_burst = 20'000;
};

/// Decides when an idempotent request that is slow is sent to a second upstream
/// as well. Thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeSettings settings);

  /// Counts a request's first attempt, which costs so many tokens.
  void OnRequest(TokenCount cost);
  /// Counts the latency of an answer to a first attempt.
  void OnAnswer(milliseconds latency);
  /// How long to wait for the first attempt before a hedge; nothing while too
  /// few answers are known.
  std::optional<milliseconds> HedgeAfter() const;
  /// Whether to send the hedge now; its cost is then counted. Never for a
  /// request that is not idempotent, or past its deadline.
  bool TryHedge(bool idempotent, TokenCount cost, TimePoint now,
                TimePoint deadline);

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;

  /// Bounds.
  HedgeSettings settings_;
  /// Bounds the tokens that hedges cost.
  CostBudget budget_;
  /// Guards `latency_`.
  mutable std::mutex mutex_;
  /// Estimates the quantile of latency, in milliseconds.
  Quantile latency_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HEDGE_POLICY_H_
