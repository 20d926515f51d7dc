#ifndef BRIARSPREAD_RULES_RULE_SET_H_
#define BRIARSPREAD_RULES_RULE_SET_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/rules/rule_types.h"

namespace briarspread {

/// The operators' rules of one revision, typed. Immutable once published.
/// Lookups return the first rule that matches, in the file's order. All lookups
/// are thread-safe and allocate only for a returned copy.
struct RuleSet {
  /// The revision; zero before any rules arrived.
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

  /// The rank and deadline for a request, or the defaults.
  PriorityRule PriorityOf(const CustomerId& customer,
                          const RequestClass& request_class) const;
  /// Whether a service's method is idempotent; not, where no rule says so.
  bool IsIdempotent(const ServiceName& service,
                    const std::string& method) const;
  /// The trainer's share and bound, or the defaults.
  TrainerRule TrainerRuleOf(const TrainerId& trainer) const;
  /// Whether the upstream gets no new work.
  bool IsDrained(const UpstreamId& upstream) const;

  /// The limit on a customer's requests of a class; empty: not limited.
  std::optional<LimitRule> LimitOf(const CustomerId& customer,
                                   const RequestClass& request_class) const;
  /// Whether a class may use a model or service; yes, where no rule names it.
  bool MayUse(const RequestClass& request_class,
              const std::string& serves) const;
  /// Bytes a second that may go from one region to another; empty: no budget.
  std::optional<ByteCount> LinkBudgetOf(const RegionId& from,
                                        const RegionId& to) const;
  /// How far requests for a model or service may go.
  LocalitySpill SpillOf(const std::string& serves) const;
  /// Fraction of a model's or service's slots kept for live callers.
  double ReserveOf(const std::string& serves) const;
  /// How many requests of a class may wait on one instance.
  std::uint32_t QueueLengthOf(const RequestClass& request_class) const;
  /// The retry budget and bound of a class, or the defaults.
  RetryRule RetryOf(const RequestClass& request_class) const;
  /// The hedging of a class; empty: none.
  std::optional<HedgeRule> HedgeOf(const RequestClass& request_class) const;
  /// The upstream that a class is sent to; empty: any.
  std::optional<UpstreamId> PinOf(const RequestClass& request_class) const;
  /// Whether the upstreams of a model or service refuse orders with an old
  /// fencing number; not, where no rule says so.
  bool ChecksFencing(const std::string& serves) const;
  /// Weight of staleness against idle time: 1 counts only staleness, 0 only
  /// idle time.
  double StalenessWeight() const;
  /// Replicas of a model kept serving in each availability zone while weights
  /// are rolled out.
  std::uint32_t LiveFloorOf(const std::string& serves) const;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SET_H_
