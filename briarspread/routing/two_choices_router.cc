#include "briarspread/routing/two_choices_router.h"

#include <algorithm>
#include <array>
#include <cassert>

#include "briarspread/core/rendezvous.h"
#include "briarspread/routing/load_estimate.h"
#include "briarspread/routing/rollout_quota.h"
#include "briarspread/routing/split_mix_random.h"

namespace briarspread {
namespace {

/// Number of random draws before the whole group is scanned for a usable
/// member.
constexpr int kMaxRandomDraws = 8;
/// Maximum age of a load report whose free slots may be used beyond the rollout
/// quota.
constexpr Duration kMaxLoadAge = std::chrono::seconds(2);
/// Number of upstreams in a group that have affinity to a prefix.
constexpr std::size_t kMaxPreferredMembers = 3;
/// Number of members sampled to estimate the mean load of a group.
constexpr std::size_t kMeanSamples = 8;
/// Maximum number of choices for a request. A choice is repeated if another
/// thread has started the probe of a half-open breaker.
constexpr int kMaxAdmitAttempts = 4;

/// The members that rendezvous hashing prefers for a prefix, best first.
class PreferredMembers {
 public:
  explicit PreferredMembers(std::uint64_t prefix) : prefix_(prefix) {}

  void Offer(const GroupMember& member) {
    Ranked ranked{MixBits(prefix_ ^ member.name_hash), member.index};
    for (std::size_t i = 0; i < kMaxPreferredMembers; ++i) {
      if (i == size_) {
        best_[size_++] = ranked;
        return;
      }
      if (ranked.weight > best_[i].weight) std::swap(ranked, best_[i]);
    }
  }
  std::size_t size() const { return size_; }
  std::uint32_t IndexAt(std::size_t i) const { return best_[i].index; }

 private:
  struct Ranked {
    std::uint64_t weight = 0;
    std::uint32_t index = 0;
  };
  /// Hash of the prefix.
  std::uint64_t prefix_;
  /// The first `size_` elements are set, in descending order of weight.
  std::array<Ranked, kMaxPreferredMembers> best_{};
  std::size_t size_ = 0;
};

/// Returns the bucket that rendezvous hashing selects for a prefix, ignoring
/// empty buckets.
std::size_t PreferredBucket(const LocalityGroup& group, std::uint64_t prefix) {
  constexpr std::uint64_t kBucketSeed = 0x9e3779b97f4a7c15ULL;
  std::size_t best = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t i = 0; i < group.bucket_count(); ++i) {
    if (group.Bucket(i).empty()) continue;
    const std::uint64_t weight = MixBits(prefix ^ MixBits(i + kBucketSeed));
    if (weight >= best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

/// Returns the index in the routing table of the member with the given name
/// hash, or nothing if the group has no such member.
std::optional<std::uint32_t> FindMember(
    const LocalityGroup& group, std::optional<std::uint64_t> name_hash) {
  if (!name_hash.has_value()) return std::nullopt;
  const auto bucket = group.Bucket(*name_hash % group.bucket_count());
  const auto it = std::find_if(bucket.begin(), bucket.end(),
                               [&](const GroupMember& member) {
                                 return member.name_hash == *name_hash;
                               });
  if (it == bucket.end()) return std::nullopt;
  return it->index;
}

}  // namespace

/// Input of one routing decision.
struct TwoChoicesRouter::Context {
  const RouteRequest& request;
  const RoutingTable& table;
  const RuleSet& rules;
  TimePoint now;
  /// Fraction of the slots that the request must leave free; zero for live
  /// requests.
  double reserve = 0;
  /// Whether the limits of slow starts are ignored.
  bool ignores_slow_start = false;
  /// Whether a slow start kept the request from an upstream that it could use.
  mutable bool was_held_back = false;

  const UpstreamView& At(std::uint32_t index) const {
    return table.upstreams[index];
  }
  double LoadAt(std::uint32_t index) const {
    return LoadEstimate(At(index)).Fraction();
  }
  bool IsUsable(std::uint32_t index) const {
    const UpstreamView& upstream = At(index);
    if (!IsEligible(request, upstream, rules)) return false;
    if (upstream.breaker != nullptr && !upstream.breaker->Allows(now)) {
      return false;
    }
    if (request.is_rollout && !HasRolloutQuota(upstream)) return false;
    return ignores_slow_start || IsWithinSlowStart(upstream);
  }
  bool IsWithinSlowStart(const UpstreamView& upstream) const {
    if (upstream.slow_start == nullptr) return true;
    PacedUpstream& paced = *upstream.slow_start;
    if (upstream.counters->in_flight.load() <
        paced.limit.AllowanceAt(now, paced.share)) {
      return true;
    }
    was_held_back = true;
    ++paced.held_back;
    return false;
  }
  /// Returns whether a request is expected to complete sooner at `a` than at
  /// `b`; compares the loads alone where both machines are equally fast.
  bool CompletesSooner(const Candidate& a, const Candidate& b) const;
  bool HasRolloutQuota(const UpstreamView& upstream) const {
    const std::uint64_t name_hash = StableHash(upstream.listed.name);
    const std::uint32_t slots = LoadEstimate(upstream).Slots();
    const std::uint32_t own = upstream.counters->rollouts_in_flight.load();
    if (own < RolloutQuota(slots, reserve, upstream.share, name_hash)) {
      return true;
    }
    return HasShareOfFreeSlots(upstream, own, name_hash);
  }
  /// Beyond its quota, an instance may use its equal share of the slots that
  /// the last report showed as free. Instances without rollouts leave their
  /// quotas unused, so the number of slots that the other instances can use
  /// grows with each report.
  bool HasShareOfFreeSlots(const UpstreamView& upstream, std::uint32_t own,
                           std::uint64_t name_hash) const {
    const LoadReport& report = upstream.load;
    if (report.slots == 0 || now - report.received > kMaxLoadAge) return false;
    const std::uint32_t usable =
        RolloutQuota(report.slots, reserve, InstanceShare{}, name_hash);
    const std::uint32_t busy = report.running + report.queued;
    if (busy >= usable) return false;
    const std::uint32_t free = usable - busy;
    return own < report.own_rollouts +
                     RolloutQuota(free, 0.0, upstream.share, name_hash);
  }
};

/// An upstream that can be chosen, and its estimated load as a fraction of its
/// slots.
struct TwoChoicesRouter::Candidate {
  std::uint32_t index = 0;
  double load = 0;
};

bool TwoChoicesRouter::Context::CompletesSooner(const Candidate& a,
                                                const Candidate& b) const {
  const LoadEstimate load_a(At(a.index));
  const LoadEstimate load_b(At(b.index));
  if (load_a.Slowness(now) == load_b.Slowness(now)) return a.load < b.load;
  return load_a.CompletionCost(now) < load_b.CompletionCost(now);
}

TwoChoicesRouter::TwoChoicesRouter(const TwoChoicesSettings& settings,
                                   RandomSource& random, const Clock& clock,
                                   const CacheHints* hints)
    : settings_(settings), random_(random), clock_(clock), hints_(hints) {}

std::optional<std::size_t> TwoChoicesRouter::Choose(const RouteRequest& request,
                                                    const RoutingTable& table,
                                                    const RuleSet& rules) {
  assert(table.upstreams.empty() || !table.index.pools.empty() ||
         std::all_of(table.upstreams.begin(), table.upstreams.end(),
                     [](const UpstreamView& upstream) {
                       return upstream.listed.state == ListedState::kLeaving;
                     }));
  Context context{request, table, rules, clock_.Now()};
  if (request.is_rollout) context.reserve = rules.ReserveOf(request.serves);
  for (int i = 0; i < kMaxAdmitAttempts; ++i) {
    const auto chosen = ChooseOnce(context);
    if (!chosen.has_value()) return std::nullopt;
    const auto& breaker = context.At(chosen->index).breaker;
    if (breaker == nullptr || breaker->Admit(context.now)) {
      return chosen->index;
    }
  }
  return std::nullopt;
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChooseOnce(
    Context& context) {
  context.ignores_slow_start = context.request.ignores_slow_start;
  context.was_held_back = false;
  const auto chosen = ChooseNearest(context);
  const bool has_room =
      chosen.has_value() && chosen->load < settings_.slow_start_override_load;
  if (has_room || !context.was_held_back) return chosen;
  context.ignores_slow_start = true;
  return ChooseNearest(context);
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChooseNearest(
    const Context& context) {
  if (!context.rules.pins.empty()) {
    const auto pin = context.rules.PinOf(context.request.request_class);
    if (pin.has_value()) return ChoosePinned(context, *pin);
  }
  const UpstreamPool* pool =
      context.table.index.Find(context.request.kind, context.request.serves);
  if (pool == nullptr) return std::nullopt;
  std::optional<Candidate> best;
  for (const LocalityGroup& group : pool->groups) {
    if (group.nearness == Nearness::kOtherRegion) break;
    if (best.has_value() && best->load < settings_.spill_load) return best;
    if (group.nearness == Nearness::kSameRegion &&
        context.rules.SpillOf(context.request.serves) ==
            LocalitySpill::kZoneOnly) {
      return best;
    }
    const auto candidate = ChooseInGroup(context, group);
    if (!candidate.has_value()) continue;
    if (!best.has_value() || candidate->load < best->load) best = candidate;
  }
  if (best.has_value() && best->load < settings_.spill_load) return best;
  return ChooseRemote(context, *pool, best);
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChoosePinned(
    const Context& context, const UpstreamId& pin) const {
  const auto& upstreams = context.table.upstreams;
  const auto it =
      std::lower_bound(upstreams.begin(), upstreams.end(), pin.value(),
                       [](const UpstreamView& upstream, const auto& name) {
                         return upstream.listed.name < name;
                       });
  if (it == upstreams.end() || it->listed.name != pin.value()) {
    return std::nullopt;
  }
  const auto index = static_cast<std::uint32_t>(it - upstreams.begin());
  if (!context.IsUsable(index)) return std::nullopt;
  return Candidate{index, context.LoadAt(index)};
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChooseRemote(
    const Context& context, const UpstreamPool& pool,
    std::optional<Candidate> near) {
  const auto first = std::find_if(
      pool.groups.begin(), pool.groups.end(), [](const LocalityGroup& group) {
        return group.nearness == Nearness::kOtherRegion;
      });
  const auto count = static_cast<std::size_t>(pool.groups.end() - first);
  if (count == 0 ||
      context.rules.SpillOf(context.request.serves) != LocalitySpill::kAny) {
    return near;
  }
  const LinkVolume volume{context.request.expected_bytes,
                          context.request.expected_answer_bytes};
  // Starts with a random region, so that the overflow of a full region is not
  // sent to a single other region.
  const std::size_t start = random_.Below(count);
  for (std::size_t i = 0; i < count; ++i) {
    const LocalityGroup& group =
        *(first + static_cast<std::ptrdiff_t>((start + i) % count));
    const auto candidate = ChooseInGroup(context, group);
    if (!candidate.has_value()) continue;
    if (near.has_value() &&
        candidate->load + settings_.region_margin >= near->load) {
      continue;
    }
    if (LinkBudget::TryTake(*group.link, volume, context.rules, context.now)) {
      return candidate;
    }
  }
  return near;
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChooseInGroup(
    const Context& context, const LocalityGroup& group) {
  if (context.request.prefix_hash != 0) {
    const auto preferred = ChoosePreferred(context, group);
    if (preferred.has_value()) return preferred;
  }
  return ChooseLessLoaded(context, group);
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChoosePreferred(
    const Context& context, const LocalityGroup& group) {
  const std::uint64_t prefix = context.request.prefix_hash;
  if (hints_ != nullptr) {
    const auto hinted = FindMember(group, hints_->Find(prefix));
    if (hinted.has_value()) {
      const auto candidate = CandidateUnlessOverloaded(context, group, *hinted);
      if (candidate.has_value()) return candidate;
    }
  }
  const auto bucket = group.Bucket(PreferredBucket(group, prefix));
  PreferredMembers preferred_members(prefix);
  for (const GroupMember& member : bucket) preferred_members.Offer(member);
  for (std::size_t i = 0; i < preferred_members.size(); ++i) {
    const auto candidate =
        CandidateUnlessOverloaded(context, group, preferred_members.IndexAt(i));
    if (candidate.has_value()) return candidate;
  }
  return std::nullopt;
}

std::optional<TwoChoicesRouter::Candidate>
TwoChoicesRouter::CandidateUnlessOverloaded(const Context& context,
                                            const LocalityGroup& group,
                                            std::uint32_t index) {
  if (!context.IsUsable(index)) return std::nullopt;
  const LoadEstimate view(context.At(index));
  const Candidate candidate{index, view.Fraction()};
  if (candidate.load < settings_.affinity_free_load) return candidate;
  const double most =
      (1.0 + settings_.affinity_excess) * EstimateMeanLoad(context, group);
  if (candidate.load + 1.0 / view.Slots() > most) return std::nullopt;
  return candidate;
}

double TwoChoicesRouter::EstimateMeanLoad(const Context& context,
                                          const LocalityGroup& group) {
  // Only the change since the table was built is sampled, so a few samples give
  // a close estimate.
  const std::size_t n = group.members.size();
  const std::size_t samples = std::min(kMeanSamples, n);
  const std::size_t start = random_.Below(n);
  const std::size_t stride = n / samples;
  double change = 0;
  for (std::size_t i = 0; i < samples; ++i) {
    const GroupMember& member = group.members[(start + i * stride) % n];
    const UpstreamView& upstream = context.At(member.index);
    const double now = LoadEstimate(upstream).Fraction();
    change += now - upstream.published_load;
  }
  return group.published_load + change / static_cast<double>(samples);
}

std::optional<TwoChoicesRouter::Candidate> TwoChoicesRouter::ChooseLessLoaded(
    const Context& context, const LocalityGroup& group) {
  const auto first = SampleUsable(context, group, std::nullopt);
  if (!first.has_value()) return std::nullopt;
  const Candidate candidate{*first, context.LoadAt(*first)};
  const auto second = SampleUsable(context, group, first);
  if (!second.has_value()) return candidate;
  const Candidate other{*second, context.LoadAt(*second)};
  return context.CompletesSooner(other, candidate) ? other : candidate;
}

std::optional<std::uint32_t> TwoChoicesRouter::SampleUsable(
    const Context& context, const LocalityGroup& group,
    std::optional<std::uint32_t> other) {
  const std::size_t n = group.members.size();
  for (int i = 0; i < kMaxRandomDraws; ++i) {
    const std::uint32_t index = group.members[random_.Below(n)].index;
    if (index != other && context.IsUsable(index)) return index;
  }
  // Few members are usable, so scan all members, starting at a random one.
  const std::size_t start = random_.Below(n);
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint32_t index = group.members[(start + i) % n].index;
    if (index != other && context.IsUsable(index)) return index;
  }
  return std::nullopt;
}

}  // namespace briarspread
