#ifndef BRIARSPREAD_RULES_RULE_SET_H_
#define BRIARSPREAD_RULES_RULE_SET_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/rules/rule_types.h"

namespace briarspread {

/// The operators' rules of one revision, typed. Immutable once published.
/// Lookups use the first rule that matches, in the order of the file. All
/// lookups are thread-safe and allocate only for a returned copy.
struct RuleSet {
  /// The revision; zero before any rules were received.
  Revision revision{0};
  /// `priority` rules.
  std::vector<PriorityRule> priorities;
  /// `idempotent` rules.
  std::vector<IdempotencyRule> idempotency;
  /// `trainer` rules.
  std::vector<TrainerRule> trainers;
  /// `drain` rules.
  std::vector<DrainRule> drains;
  /// `limit` rules.
  std::vector<LimitRule> limits;
  /// `access` rules.
  std::vector<AccessRule> access;
  /// `link` rules.
  std::vector<LinkRule> links;
  /// `spill` rules.
  std::vector<SpillRule> spills;
  /// `reserve` rules.
  std::vector<ReserveRule> reserves;
  /// `queue` rules.
  std::vector<QueueRule> queues;
  /// `retry` rules.
  std::vector<RetryRule> retries;
  /// `hedge` rules.
  std::vector<HedgeRule> hedges;
  /// `pin` rules.
  std::vector<PinRule> pins;
  /// `fencing` rules.
  std::vector<FencingRule> fencing;
  /// The `objective` rule.
  std::optional<ObjectiveRule> objective;
  /// `live-floor` rules.
  std::vector<LiveFloorRule> live_floors;

  bool operator==(const RuleSet&) const = default;

  /// Returns the rank and deadline for a request, or the defaults.
  PriorityRule PriorityOf(const CustomerId& customer,
                          const RequestClass& request_class) const;
  /// Returns whether a service's method is idempotent; false if no rule
  /// matches.
  bool IsIdempotent(const ServiceName& service,
                    const std::string& method) const;
  /// Returns the trainer's share and staleness bound, or the defaults.
  TrainerRule TrainerRuleOf(const TrainerId& trainer) const;
  /// Returns whether the upstream gets no new work.
  bool IsDrained(const UpstreamId& upstream) const;

  /// Returns the limit on a customer's requests of a class; empty if there is
  /// none.
  std::optional<LimitRule> LimitOf(const CustomerId& customer,
                                   const RequestClass& request_class) const;
  /// Returns whether a class may use a model or service; true if no rule
  /// matches the class.
  bool MayUse(const RequestClass& request_class,
              const std::string& serves) const;
  /// Returns the bytes per second that may be sent from one region to another;
  /// empty if there is no budget.
  std::optional<ByteCount> LinkBudgetOf(const RegionId& from,
                                        const RegionId& to) const;
  /// Returns how far from the caller's availability zone requests for a model
  /// or service may run.
  LocalitySpill SpillOf(const std::string& serves) const;
  /// Returns the fraction of a model's or service's slots kept for live
  /// callers.
  double ReserveOf(const std::string& serves) const;
  /// Returns how many requests of a class may wait on one instance.
  std::uint32_t QueueLengthOf(const RequestClass& request_class) const;
  /// Returns the retry budget and the maximum attempts of a class, or the
  /// defaults.
  RetryRule RetryOf(const RequestClass& request_class) const;
  /// Returns the hedging rule of a class; empty if its requests are not hedged.
  std::optional<HedgeRule> HedgeOf(const RequestClass& request_class) const;
  /// Returns the upstream that a class is pinned to; empty if it is not pinned.
  std::optional<UpstreamId> PinOf(const RequestClass& request_class) const;
  /// Returns whether the upstreams of a model or service refuse orders with an
  /// old fencing number; false if no rule matches.
  bool ChecksFencing(const std::string& serves) const;
  /// Returns the weight of staleness against the trainers' idle time: 1 counts
  /// only staleness, 0 only idle time.
  double StalenessWeight() const;
  /// Returns the number of replicas of a model kept serving in each
  /// availability zone while weights are rolled out.
  std::uint32_t LiveFloorOf(const std::string& serves) const;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SET_H_
