#ifndef BRIARSPREAD_ROUTING_TWO_CHOICES_ROUTER_H_
#define BRIARSPREAD_ROUTING_TWO_CHOICES_ROUTER_H_

#include <cstdint>
#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/routing/cache_hints.h"
#include "briarspread/routing/router.h"

namespace briarspread {

/// How the router trades load against nearness and cached prefixes.
struct TwoChoicesSettings {
  /// Load, as a fraction of slots, from which the next group is looked at.
  double spill_load = 1.0;
  /// How much lower the load in another region must be to go there.
  double region_margin = 0.5;
  /// A preferred upstream may be loaded this much above the mean.
  double affinity_excess = 0.25;
  /// Below this load a preferred upstream is always taken.
  double affinity_free_load = 0.5;
};

/// Power of two choices over load corrected by own requests in flight: the less
/// loaded of two random upstreams, so that instances that see the same lagging
/// reports do not all go to one (Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001). With a prefix hash, bounded-load
/// rendezvous hashing comes first. Nearest group first; farther ones as load,
/// rules and link budget allow. Thread-safe. A decision takes no lock but a
/// short one of `CacheHints`, and allocates nothing.
class TwoChoicesRouter final : public Router {
 public:
  /// `hints` may be null. Precondition: all arguments outlive this object.
  TwoChoicesRouter(const TwoChoicesSettings& settings, RandomSource& random,
                   const Clock& clock, const CacheHints* hints = nullptr);

  /// Precondition: `table` came from `MakeRoutingTable`.
  std::optional<std::size_t> Choose(const RouteRequest& request,
                                    const RoutingTable& table,
                                    const RuleSet& rules) override;

 private:
  struct Context;
  struct Candidate;

  std::optional<Candidate> ChooseOnce(const Context& context);
  std::optional<Candidate> ChoosePinned(const Context& context,
                                        const UpstreamId& pin) const;
  std::optional<Candidate> ChooseRemote(const Context& context,
                                        const UpstreamPool& pool,
                                        std::optional<Candidate> near);
  std::optional<Candidate> ChooseInGroup(const Context& context,
                                         const LocalityGroup& group);
  std::optional<Candidate> ChoosePreferred(const Context& context,
                                           const LocalityGroup& group);
  std::optional<Candidate> TakeUnlessOverloaded(const Context& context,
                                                const LocalityGroup& group,
                                                std::uint32_t index);
  std::optional<Candidate> ChooseLessLoaded(const Context& context,
                                            const LocalityGroup& group);
  std::optional<std::uint32_t> Draw(const Context& context,
                                    const LocalityGroup& group,
                                    std::optional<std::uint32_t> other);
  double EstimateMeanLoad(const Context& context, const LocalityGroup& group);

  const TwoChoicesSettings settings_;
  /// Draws the choices.
  RandomSource& random_;
  /// Times breakers and link budgets.
  const Clock& clock_;
  /// What upstreams are known to have cached; null for nothing.
  const CacheHints* const hints_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_TWO_CHOICES_ROUTER_H_
