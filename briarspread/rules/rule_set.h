#ifndef BRIARSPREAD_RULES_RULE_SET_H_
#define BRIARSPREAD_RULES_RULE_SET_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Matches any customer, class, model, service or method in a rule.
inline constexpr char kAny[] = "*";

/// `priority`: the rank and deadline of a customer's requests of a class.
struct PriorityRule {
  /// The customer, or `*`.
  CustomerId customer{kAny};
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Rank from 0, served first, to 9.
  int level = 5;
  /// How long a caller without a deadline of its own waits.
  milliseconds deadline{30000};
};

/// `idempotent`: whether a service's method may run more than once.
struct IdempotencyRule {
  /// The service, or `*`.
  ServiceName service{kAny};
  /// The HTTP method, or `*`.
  std::string method{kAny};
  /// Whether it may run more than once.
  bool idempotent = false;
};

/// `trainer`: a trainer's share and bound.
struct TrainerRule {
  /// The trainer, or `*`.
  TrainerId trainer{kAny};
  /// Share of the engines against other trainers; above zero.
  double weight = 1.0;
  /// How many versions a delivered sample may be behind; empty: as the step
  /// says.
  std::optional<std::uint64_t> staleness;
};

/// `drain`: an upstream that gets no new work.
struct DrainRule {
  /// The upstream.
  UpstreamId upstream;
};

/// The operators' rules of one revision, typed. Immutable once published.
/// Lookups return the first rule that matches, in the file's order.
struct RuleSet {
  /// The revision; zero before any rules arrived.
  Revision revision{0};
  std::vector<PriorityRule> priorities;
  std::vector<IdempotencyRule> idempotency;
  std::vector<TrainerRule> trainers;
  std::vector<DrainRule> drains;

  /// The rank and deadline for a request, or the defaults. Thread-safe.
  PriorityRule PriorityOf(const CustomerId& customer,
                          const RequestClass& request_class) const;
  /// Whether a service's method is idempotent; not, where no rule says so.
  /// Thread-safe.
  bool IsIdempotent(const ServiceName& service,
                    const std::string& method) const;
  /// The trainer's share and bound, or the defaults. Thread-safe.
  TrainerRule TrainerRuleOf(const TrainerId& trainer) const;
  /// Whether the upstream gets no new work. Thread-safe.
  bool IsDrained(const UpstreamId& upstream) const;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SET_H_
