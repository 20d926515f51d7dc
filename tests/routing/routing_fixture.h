#ifndef TESTS_ROUTING_ROUTING_FIXTURE_H_
#define TESTS_ROUTING_ROUTING_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/routing/routing_table.h"
#include "briarspread/routing/split_mix_random.h"
#include "briarspread/routing/two_choices_router.h"
#include "briarspread/rules/rule_parser.h"
#include "tests/support/manual_clock.h"

namespace briarspread::testing {

inline constexpr char kModel[] = "order-assistant";

inline Locality LimA() { return {RegionId("lim"), ZoneId("lim-a")}; }
inline Locality LimB() { return {RegionId("lim"), ZoneId("lim-b")}; }
inline Locality AqpA() { return {RegionId("aqp"), ZoneId("aqp-a")}; }

/// Returns an idle engine that is listed as live and has ten slots.
inline UpstreamView MakeEngine(const std::string& name,
                               const Locality& locality) {
  UpstreamView view;
  view.listed.name = name;
  view.listed.kind = InstanceKind::kModelEngine;
  view.listed.serves = kModel;
  view.listed.locality = locality;
  view.load.slots = 10;
  view.counters = std::make_shared<UpstreamCounters>();
  return view;
}

inline RuleSet RulesFrom(const std::string& text) {
  return std::get<RuleSet>(ParseRules(text));
}

/// A router and a routing table of engines for an instance in zone lim-a.
struct RoutingFixture {
  explicit RoutingFixture(std::vector<UpstreamView> engines)
      : table(MakeRoutingTable(std::move(engines), LimA(), links)) {
    request.serves = kModel;
    request.request_class = RequestClass("quote");
  }
  /// Returns the name of the chosen upstream, or "none".
  std::string Choose() {
    const auto index = router.Choose(request, *table, rules);
    return index.has_value() ? table->upstreams[*index].listed.name : "none";
  }
  UpstreamView& At(const std::string& name) {
    for (UpstreamView& view : table->upstreams) {
      if (view.listed.name == name) return view;
    }
    throw std::out_of_range(name);
  }

  LinkBudget links;
  std::unique_ptr<RoutingTable> table;
  ManualClock clock;
  SplitMixRandom random{7};
  TwoChoicesRouter router{TwoChoicesSettings{}, random, clock};
  RuleSet rules;
  RouteRequest request;
};

}  // namespace briarspread::testing

#endif  // TESTS_ROUTING_ROUTING_FIXTURE_H_
