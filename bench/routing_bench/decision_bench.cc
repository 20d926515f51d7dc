#include "bench/routing_bench/decision_bench.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <numeric>
#include <utility>

#include "bench/routing_bench/allocation_counter.h"
#include "bench/routing_bench/fleet.h"
#include "briarspread/routing/baseline_routers.h"
#include "briarspread/routing/split_mix_random.h"
#include "briarspread/routing/two_choices_router.h"

namespace briarspread::bench {
namespace {

constexpr int kDecisions = 20'000;
/// Larger than the number of instances, so that every instance uses every
/// upstream.
constexpr std::uint32_t kEveryInstance = 100'000;
constexpr int kScanDecisions = 500;
/// Each request stays in flight for this number of further decisions.
constexpr std::size_t kMaxInFlight = 4000;

/// A fleet and a load for which decisions are timed.
struct Scenario {
  std::string name;
  FleetSize size;
  /// Whether each request has a random prefix hash.
  bool has_prefix = false;
  bool is_rollout = false;
  /// Load of the replicas in the instance's own zone and of all other replicas,
  /// as a fraction of their slots.
  double zone_load = 0.5;
  double other_load = 0.5;
  /// Fraction of replicas that accept no requests.
  double refusing = 0;
  /// Whether the table contains only the subset of the first instance.
  bool is_subset = false;
};

std::unique_ptr<RoutingTable> MakeTable(const Scenario& scenario,
                                        RandomSource& random,
                                        LinkBudget& links) {
  constexpr std::uint32_t kSlots = 16;
  const Locality self = LocalityOf(0, scenario.size);
  const auto replicas = MakeReplicas(scenario.size);
  const auto planned = MakeInstances(scenario.size);
  SubsetPlanSettings settings;
  if (!scenario.is_subset) settings.instances_per_upstream = kEveryInstance;
  const SubsetPlan plan(settings, planned);
  std::vector<UpstreamView> views;
  for (const auto& tracked : plan.TrackedBy(planned[0].id, replicas)) {
    const ListedInstance& listed = replicas[tracked.index];
    UpstreamView view;
    view.listed = listed;
    view.counters = std::make_shared<UpstreamCounters>();
    view.counters->refuses_work = random.Fraction() < scenario.refusing;
    view.load.slots = kSlots;
    const double load =
        listed.locality == self ? scenario.zone_load : scenario.other_load;
    view.load.running = static_cast<std::uint32_t>(load * kSlots);
    views.push_back(std::move(view));
  }
  return MakeRoutingTable(std::move(views), self, links);
}

RuleSet MakeRules() {
  RuleSet rules;
  LinkRule link;
  link.bytes_per_second = ByteCount(1ULL << 40);
  rules.links.push_back(link);
  rules.drains.push_back(DrainRule{UpstreamId("model-engine-replica-1")});
  return rules;
}

double PercentileOf(const std::vector<double>& sorted, double fraction) {
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(fraction * last)];
}

DecisionResult TimeDecisions(const Scenario& scenario, Router& router,
                             int decisions, const RoutingTable& table,
                             RandomSource& random) {
  using SteadyClock = std::chrono::steady_clock;
  const RuleSet rules = MakeRules();
  RouteRequest request;
  request.serves = ModelName(0);
  request.request_class = RequestClass("order-assistant-quote");
  request.is_rollout = scenario.is_rollout;
  request.expected_bytes = ByteCount(4096);
  request.expected_answer_bytes = ByteCount(16384);
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(decisions));
  std::vector<UpstreamCounters*> outstanding(kMaxInFlight, nullptr);
  std::uint64_t allocations = 0;
  int chosen_count = 0;
  for (int i = 0; i < decisions; ++i) {
    if (scenario.has_prefix) request.prefix_hash = random.Next() | 1;
    const std::uint64_t allocations_before = AllocationCount();
    const auto begin = SteadyClock::now();
    const auto chosen = router.Choose(request, table, rules);
    const std::chrono::duration<double, std::micro> taken =
        SteadyClock::now() - begin;
    allocations += AllocationCount() - allocations_before;
    times.push_back(taken.count());
    auto*& slot = outstanding[static_cast<std::size_t>(i) % kMaxInFlight];
    if (slot != nullptr) --slot->in_flight;
    slot = nullptr;
    if (!chosen.has_value()) continue;
    ++chosen_count;
    slot = table.upstreams[*chosen].counters.get();
    ++slot->in_flight;
  }
  std::sort(times.begin(), times.end());
  DecisionResult result;
  result.name = scenario.name;
  result.p50_us = PercentileOf(times, 0.5);
  result.p99_us = PercentileOf(times, 0.99);
  result.max_us = times.back();
  result.mean_us = std::accumulate(times.begin(), times.end(), 0.0) / decisions;
  result.allocations = static_cast<double>(allocations) / decisions;
  result.chosen = static_cast<double>(chosen_count) / decisions;
  return result;
}

std::vector<Scenario> MakeScenarios(int replicas) {
  const FleetSize fleet{410, replicas, 20, 9, 3};
  const FleetSize one_zone{410, replicas, 1, 1, 1};
  return {
      {"20 zones, 3 models, near upstream free", fleet},
      {"same, with prefix affinity", fleet, true},
      {"same, rollout with reserve", fleet, false, true},
      {"same, zone full, spills to region", fleet, false, false, 1.5},
      {"same, region full, spills over a link", fleet, false, false, 3.0, 1.2},
      {"same, 90% refuse work", fleet, false, false, 0.5, 0.5, 0.9},
      {"one instance's subset of these", fleet, false, false, 0.5, 0.5, 0,
       true},
      {"same, with prefix affinity", fleet, true, false, 0.5, 0.5, 0, true},
      {"one zone, one model", one_zone},
      {"same, with prefix affinity", one_zone, true},
      {"same, with prefix, all loaded", one_zone, true, false, 0.9, 0.9},
      {"same, 90% refuse work", one_zone, false, false, 0.5, 0.5, 0.9},
      {"same, 99.9% refuse work", one_zone, false, false, 0.5, 0.5, 0.999},
  };
}

}  // namespace

std::vector<DecisionResult> RunDecisionBench(std::uint64_t seed, int replicas) {
  std::vector<DecisionResult> results;
  const SystemClock clock;
  for (const Scenario& scenario : MakeScenarios(replicas)) {
    SplitMixRandom random(seed);
    LinkBudget links;
    const auto table = MakeTable(scenario, random, links);
    TwoChoicesRouter router(TwoChoicesSettings{}, random, clock);
    results.push_back(
        TimeDecisions(scenario, router, kDecisions, *table, random));
  }
  Scenario scan_scenario{"baseline: scan for the fewest in flight",
                         FleetSize{410, replicas, 20, 9, 3}};
  SplitMixRandom random(seed);
  LinkBudget links;
  const auto table = MakeTable(scan_scenario, random, links);
  FewestInFlightRouter scan_router;
  results.push_back(TimeDecisions(scan_scenario, scan_router, kScanDecisions,
                                  *table, random));
  return results;
}

}  // namespace briarspread::bench
