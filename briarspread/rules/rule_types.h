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

/// A rate that no traffic reaches, in requests a second.
inline constexpr double kUnlimitedRate = 1e9;
/// A count of concurrent requests that no traffic reaches.
inline constexpr std::uint32_t kUnlimitedConcurrency =
    std::numeric_limits<std::uint32_t>::max();

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

  bool operator==(const PriorityRule&) const = default;
};

/// `idempotent`: whether a service's method may run more than once.
struct IdempotencyRule {
  /// The service, or `*`.
  ServiceName service{kAny};
  /// The HTTP method, or `*`.
  std::string method{kAny};
  /// Whether it may run more than once.
  bool idempotent = false;

  bool operator==(const IdempotencyRule&) const = default;
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

  bool operator==(const TrainerRule&) const = default;
};

/// `drain`: an upstream that gets no new work.
struct DrainRule {
  /// The upstream.
  UpstreamId upstream;

  bool operator==(const DrainRule&) const = default;
};

/// `limit`: how much a customer's requests of a class may ask for.
struct LimitRule {
  /// The customer, or `*`.
  CustomerId customer{kAny};
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Requests a second over the whole fleet.
  double rate_per_second = kUnlimitedRate;
  /// Requests in flight over the whole fleet.
  std::uint32_t concurrency = kUnlimitedConcurrency;

  bool operator==(const LimitRule&) const = default;
};

/// `access`: the models and services that a class may use.
struct AccessRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Names of models and services; `*` stands for all.
  std::vector<std::string> serves;

  bool operator==(const AccessRule&) const = default;
};

/// `link`: the volume budget of one direction between two regions.
struct LinkRule {
  /// The region that sends, or `*`.
  RegionId from{kAny};
  /// The region that receives, or `*`.
  RegionId to{kAny};
  /// Bytes a second that the system may send.
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

/// `spill`: how far requests for a model or service may go.
struct SpillRule {
  /// The model or service, or `*`.
  std::string serves{kAny};
  /// The farthest place.
  LocalitySpill spill = LocalitySpill::kAny;

  bool operator==(const SpillRule&) const = default;
};

/// `reserve`: slots kept free of rollout for live callers.
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
  /// Requests waiting.
  std::uint32_t length = 256;

  bool operator==(const QueueRule&) const = default;
};

/// `retry`: how many further attempts a class may cause.
struct RetryRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Retries as a fraction of first attempts.
  double budget = 0.1;
  /// Attempts of one request, the first included.
  std::uint32_t max_attempts = 3;

  bool operator==(const RetryRule&) const = default;
};

/// `hedge`: whether a slow request gets a second attempt beside the first.
struct HedgeRule {
  /// The class, or `*`.
  RequestClass request_class{kAny};
  /// Hedges as a fraction of first attempts.
  double cost_cap = 0.05;
  /// How long the first attempt runs before the second starts.
  milliseconds after{1000};

  bool operator==(const HedgeRule&) const = default;
};

/// `pin`: sends a class to one upstream.
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
  /// Whether they check.
  bool checks = false;

  bool operator==(const FencingRule&) const = default;
};

/// `objective`: what to favour where staleness and idle time conflict.
struct ObjectiveRule {
  /// 1: only staleness counts; 0: only the trainers' idle time counts.
  double staleness_weight = 0.5;

  bool operator==(const ObjectiveRule&) const = default;
};

/// `live-floor`: replicas kept serving while weights are rolled out.
struct LiveFloorRule {
  /// The model, or `*`.
  std::string serves{kAny};
  /// Replicas in each availability zone.
  std::uint32_t replicas = 1;

  bool operator==(const LiveFloorRule&) const = default;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_TYPES_H_
