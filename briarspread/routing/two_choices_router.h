#ifndef BRIARSPREAD_ROUTING_TWO_CHOICES_ROUTER_H_
#define BRIARSPREAD_ROUTING_TWO_CHOICES_ROUTER_H_

#include <cstdint>
#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/routing/cache_hints.h"
#include "briarspread/routing/router.h"

namespace briarspread {

/// Settings for the trade-off between load, nearness and cached prefixes.
struct TwoChoicesSettings {
  /// Load, as a fraction of the slots, from which the next farther group is
  /// considered.
  double spill_load = 1.0;
  /// Minimum difference in load, as a fraction of the slots, for which a
  /// request is sent to another region.
  double region_margin = 0.5;
  /// Fraction by which the load of an upstream with prefix affinity may exceed
  /// the mean load of its group.
  double affinity_excess = 0.25;
  /// Load, as a fraction of the slots, below which an upstream with prefix
  /// affinity is always chosen.
  double affinity_free_load = 0.5;
  /// Load, as a fraction of the slots, of the best other upstream from which a
  /// request is sent to an upstream beyond the limit of its slow start.
  double slow_start_override_load = 2.0;
};

/// Router that uses the power of two choices: it picks the less loaded of two
/// random upstreams, so that instances that see the same lagging reports do not
/// all choose the same upstream (Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001). Load is estimated by `LoadEstimate`. For
/// requests with a prefix hash, rendezvous hashing with bounded loads is tried
/// first. The nearest group is preferred; farther groups are used as load,
/// rules and link budgets require and permit. Thread-safe. A decision allocates
/// no memory and takes only short locks: that of a `CacheHints` shard and that
/// of an open circuit breaker.
class TwoChoicesRouter final : public Router {
 public:
  /// `hints` may be null. Precondition: `random`, `clock` and `hints` outlive
  /// this object.
  TwoChoicesRouter(const TwoChoicesSettings& settings, RandomSource& random,
                   const Clock& clock, const CacheHints* hints = nullptr);

  /// Precondition: `table` was built by `MakeRoutingTable`.
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;

 private:
  struct Context;
  struct Candidate;

  /// Chooses within the limits of slow starts, or beyond them where the other
  /// upstreams are overloaded or cannot be used.
  std::optional<Candidate> ChooseOnce(Context& context);
  std::optional<Candidate> ChooseNearest(const Context& context);
  std::optional<Candidate> ChoosePinned(const Context& context,
                                        const UpstreamId& pin) const;
  std::optional<Candidate> ChooseRemote(const Context& context,
                                        const UpstreamPool& pool,
                                        std::optional<Candidate> near);
  std::optional<Candidate> ChooseInGroup(const Context& context,
                                         const LocalityGroup& group);
  std::optional<Candidate> ChoosePreferred(const Context& context,
                                           const LocalityGroup& group);
  std::optional<Candidate> CandidateUnlessOverloaded(const Context& context,
                                                     const LocalityGroup& group,
                                                     std::uint32_t index);
  std::optional<Candidate> ChooseLessLoaded(const Context& context,
                                            const LocalityGroup& group);
  std::optional<std::uint32_t> SampleUsable(const Context& context,
                                            const LocalityGroup& group,
                                            std::optional<std::uint32_t> other);
  double EstimateMeanLoad(const Context& context, const LocalityGroup& group);

  const TwoChoicesSettings settings_;
  /// Source of the random choices.
  RandomSource& random_;
  /// Clock for circuit breakers, link budgets and the age of load reports.
  const Clock& clock_;
  /// Prefixes that the engines have cached; null to route without hints.
  const CacheHints* const hints_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_TWO_CHOICES_ROUTER_H_
