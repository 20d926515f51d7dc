#ifndef BRIARSPREAD_RULES_RULE_TYPES_H_
#define BRIARSPREAD_RULES_RULE_TYPES_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Matches any customer, class, model, service or method in a rule.
inline constexpr char kAny[] = "*";

/// Rate that represents no limit, in requests per second; no traffic reaches
/// it.
inline constexpr double kUnlimitedRate = 1e9;
/// Number of concurrent requests that represents no limit; no traffic reaches
/// it.
inline constexpr std::uint32_t kUnlimitedConcurrency =
    std::numeric_limits<std::uint32_t>::max();

/// `priority`: the rank and deadline of a customer's requests of a class.
struct PriorityRule {
  /// The customer, or `*`.
  CustomerId customer{kAny};
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Rank from 0, which is served first, to 9.
  int level = 5;
  /// Time limit of a request whose caller sets no deadline.
  milliseconds deadline{30000};

  bool operator==(const PriorityRule&) const = default;
};

/// `idempotent`: whether a service's method may run more than once.
struct IdempotencyRule {
  /// The service, or `*`.
  ServiceName service{kAny};
  /// The HTTP method, or `*`.
  std::string method{kAny};
  /// Whether the method may run more than once.
  bool idempotent = false;

  bool operator==(const IdempotencyRule&) const = default;
};

/// `trainer`: a trainer's share of the engines and its staleness bound.
struct TrainerRule {
  /// The trainer, or `*`.
  TrainerId trainer{kAny};
  /// Weight of the trainer when engines are shared with others; above zero.
  double weight = 1.0;
  /// Maximum number of versions that a delivered sample may be behind; if
  /// empty, the bound of the step applies.
  std::optional<std::uint64_t> staleness;

  bool operator==(const TrainerRule&) const = default;
};

/// `drain`: an upstream that gets no new work.
struct DrainRule {
  /// The upstream to drain.
  UpstreamId upstream;

  bool operator==(const DrainRule&) const = default;
};

/// `limit`: rate and concurrency limits of a customer's requests of a class.
struct LimitRule {
  /// The customer, or `*`.
  CustomerId customer{kAny};
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Maximum rate over the whole fleet, in requests per second.
  double rate_per_second = kUnlimitedRate;
  /// Maximum number of requests in flight over the whole fleet.
  std::uint32_t concurrency = kUnlimitedConcurrency;

  bool operator==(const LimitRule&) const = default;
};

/// `access`: the models and services that a class may use.
struct AccessRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Names of models and services; `*` matches all.
  std::vector<std::string> serves;

  bool operator==(const AccessRule&) const = default;
};

/// `link`: the bandwidth budget of one direction between two regions.
struct LinkRule {
  /// The sending region, or `*`.
  RegionId from{kAny};
  /// The receiving region, or `*`.
  RegionId to{kAny};
  /// Maximum rate that the system may send, in bytes per second.
  ByteCount bytes_per_second;

  bool operator==(const LinkRule&) const = default;
};

/// How far from the caller's availability zone its request may run.
enum class LocalitySpill {
  /// In the caller's availability zone only.
  kZoneOnly,
  /// In any availability zone of the caller's region.
  kRegion,
  /// Anywhere.
  kAny,
};

/// `spill`: how far from the caller's availability zone requests for a model or
/// service may run.
struct SpillRule {
  /// The model or service, or `*`.
  std::string serves{kAny};
  /// The widest area in which the requests may run.
  LocalitySpill spill = LocalitySpill::kAny;

  bool operator==(const SpillRule&) const = default;
};

/// `reserve`: slots that rollouts may not use, kept for live callers.
struct ReserveRule {
  /// The model or service, or `*`.
  std::string serves{kAny};
  /// Fraction of the slots, 0 to 1.
  double share = 0.2;

  bool operator==(const ReserveRule&) const = default;
};

/// `queue`: how many requests of a class may wait on one instance.
struct QueueRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Maximum number of waiting requests.
  std::uint32_t length = 256;

  bool operator==(const QueueRule&) const = default;
};

/// `retry`: the retry budget of a class.
struct RetryRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Maximum number of retries as a fraction of first attempts.
  double budget = 0.1;
  /// Maximum number of attempts of one request, including the first.
  std::uint32_t max_attempts = 3;

  bool operator==(const RetryRule&) const = default;
};

/// `hedge`: when a slow request gets a second, concurrent attempt.
struct HedgeRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Maximum number of hedges as a fraction of first attempts.
  double cost_cap = 0.05;
  /// Delay after the start of the first attempt until the second one starts.
  milliseconds after{1000};

  bool operator==(const HedgeRule&) const = default;
};

/// `pin`: sends all requests of a class to one upstream.
struct PinRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// The upstream.
  UpstreamId upstream;

  bool operator==(const PinRule&) const = default;
};

/// `fencing`: whether upstreams refuse orders with an old fencing number.
struct FencingRule {
  /// The model or service, or `*`.
  std::string serves{kAny};
  /// Whether the upstreams check the fencing number.
  bool checks = false;

  bool operator==(const FencingRule&) const = default;
};

/// `objective`: the trade-off between staleness and the trainers' idle time.
struct ObjectiveRule {
  /// 1: only staleness counts; 0: only the trainers' idle time counts.
  double staleness_weight = 0.5;

  bool operator==(const ObjectiveRule&) const = default;
};

/// `live-floor`: replicas kept serving while weights are rolled out.
struct LiveFloorRule {
  /// The model, or `*`.
  std::string serves{kAny};
  /// Minimum number of serving replicas in each availability zone.
  std::uint32_t replicas = 1;

  bool operator==(const LiveFloorRule&) const = default;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_TYPES_H_
