#include "briarspread/rules/rule_set.h"

#include <catch2/catch.hpp>

#include "briarspread/rules/rule_parser.h"

namespace briarspread {
namespace {

RuleSet Parse(std::string_view text) {
  auto parsed = ParseRules(text);
  REQUIRE(std::holds_alternative<RuleSet>(parsed));
  return std::get<RuleSet>(std::move(parsed));
}

const RequestClass kQuote("quote");
const RequestClass kOther("other");

TEST_CASE("lookups without a matching rule return the documented defaults") {
  const RuleSet rules;
  REQUIRE_FALSE(rules.LimitOf(CustomerId("andes"), kQuote).has_value());
  REQUIRE(rules.MayUse(kQuote, "desk"));
  REQUIRE_FALSE(rules.LinkBudgetOf(RegionId("lim"), RegionId("aqp")));
  REQUIRE(rules.SpillOf("desk") == LocalitySpill::kAny);
  REQUIRE(rules.ReserveOf("desk") == 0.2);
  REQUIRE(rules.QueueLengthOf(kQuote) == 256);
  REQUIRE(rules.RetryOf(kQuote) == RetryRule{});
  REQUIRE_FALSE(rules.HedgeOf(kQuote).has_value());
  REQUIRE_FALSE(rules.PinOf(kQuote).has_value());
  REQUIRE_FALSE(rules.ChecksFencing("desk"));
  REQUIRE(rules.StalenessWeight() == 0.5);
  REQUIRE(rules.LiveFloorOf("desk") == 1);
}

TEST_CASE("limits match by customer and class, access by class") {
  const RuleSet rules = Parse(
      "limit customer=andes class=quote rate=2.5/s # Rosa\n"
      "limit concurrency=7 # Rosa\n"
      "access class=quote serves=desk,stock # Rosa\n");
  const auto quote = rules.LimitOf(CustomerId("andes"), kQuote);
  REQUIRE(quote->rate_per_second == 2.5);
  REQUIRE(quote->concurrency == kUnlimitedConcurrency);
  REQUIRE(rules.LimitOf(CustomerId("andes"), kOther)->concurrency == 7);
  REQUIRE(rules.MayUse(kQuote, "stock"));
  REQUIRE_FALSE(rules.MayUse(kQuote, "rollout"));
  REQUIRE(rules.MayUse(kOther, "rollout"));
}

TEST_CASE("queue, retry, hedge and pin rules match by class") {
  const RuleSet rules = Parse(
      "queue class=quote length=9 # Rosa\n"
      "retry class=quote budget=0.5 attempts=2 # Rosa\n"
      "hedge class=quote cost=0.25 after=150ms # Rosa\n"
      "pin class=quote upstream=desk-2 # Rosa\n");
  REQUIRE(rules.QueueLengthOf(kQuote) == 9);
  REQUIRE(rules.RetryOf(kQuote).budget == 0.5);
  REQUIRE(rules.RetryOf(kQuote).max_attempts == 2);
  REQUIRE(rules.HedgeOf(kQuote)->after == milliseconds(150));
  REQUIRE(rules.HedgeOf(kQuote)->cost_cap == 0.25);
  REQUIRE(rules.PinOf(kQuote) == UpstreamId("desk-2"));
  REQUIRE_FALSE(rules.PinOf(kOther).has_value());
}

TEST_CASE("rules on regions, services and trainers match by name") {
  const RuleSet rules = Parse(
      "link from=lim to=aqp budget=1.5MB/s # Carla\n"
      "spill serves=desk to=zone # Carla\n"
      "spill to=region # Carla\n"
      "reserve serves=desk share=0.75 # Rosa\n"
      "fencing serves=desk checked=yes # Ines\n"
      "objective staleness=1 # the board\n"
      "live-floor serves=desk replicas=3 # Rosa\n"
      "trainer name=lima weight=2 staleness=4 # Ines\n");
  REQUIRE(rules.LinkBudgetOf(RegionId("lim"), RegionId("aqp")) ==
          ByteCount(1'500'000));
  REQUIRE_FALSE(rules.LinkBudgetOf(RegionId("aqp"), RegionId("lim")));
  REQUIRE(rules.SpillOf("desk") == LocalitySpill::kZoneOnly);
  REQUIRE(rules.SpillOf("stock") == LocalitySpill::kRegion);
  REQUIRE(rules.ReserveOf("desk") == 0.75);
  REQUIRE(rules.ChecksFencing("desk"));
  REQUIRE_FALSE(rules.ChecksFencing("rollout"));
  REQUIRE(rules.StalenessWeight() == 1.0);
  REQUIRE(rules.LiveFloorOf("desk") == 3);
  REQUIRE(rules.TrainerRuleOf(TrainerId("lima")).staleness == 4);
}

}  // namespace
}  // namespace briarspread
