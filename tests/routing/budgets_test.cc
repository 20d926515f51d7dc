#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

#include "briarspread/routing/cache_hints.h"
#include "briarspread/routing/link_budget.h"
#include "briarspread/routing/rollout_quota.h"
#include "tests/routing/routing_fixture.h"

namespace briarspread {
namespace {

using testing::ManualClock;
using testing::RulesFrom;

struct SentBytes {
  TimePoint at{};
  double bytes = 0;
};

/// Returns by how many bytes the worst time window exceeds what its length
/// allows.
double WorstExcess(const std::vector<SentBytes>& sent, double rate) {
  double worst = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double total = 0;
    for (std::size_t j = i; j < sent.size(); ++j) {
      total += sent[j].bytes;
      const std::chrono::duration<double> window = sent[j].at - sent[i].at;
      worst = std::max(worst, total - rate * (window.count() + 1.0));
    }
  }
  return worst;
}

TEST_CASE("all instances together never exceed the budget of a link") {
  rc::prop("in any window, rate x (length + burst) bounds the bytes", [] {
    const auto instances = *rc::gen::inRange(1U, 8U);
    LinkBudget budgets;
    std::vector<std::shared_ptr<Link>> links;
    for (unsigned i = 0; i < instances; ++i) {
      links.push_back(std::make_shared<Link>());
      links[i]->self = RegionId("lim");
      links[i]->other = RegionId("aqp");
      links[i]->instances = instances;
    }
    const RuleSet rules =
        RulesFrom("link from=lim to=aqp budget=0.01MB/s # R\n");
    ManualClock clock;
    std::vector<SentBytes> sent;
    for (int i = 0; i < 150; ++i) {
      clock.Advance(milliseconds(*rc::gen::inRange(0, 200)));
      Link& link = *links[*rc::gen::inRange(0U, instances)];
      const auto bytes = *rc::gen::inRange<std::uint64_t>(0, 3000);
      const LinkVolume volume{ByteCount(bytes), ByteCount(0)};
      if (LinkBudget::TryTake(link, volume, rules, clock.Now())) {
        sent.push_back({clock.Now(), static_cast<double>(bytes)});
      }
    }
    RC_ASSERT(WorstExcess(sent, 10000) <= 1.0);
  });
}

TEST_CASE("bytes used beyond those taken are charged to later calls") {
  LinkBudget budgets;
  const auto link = budgets.LinkBetween(RegionId("lim"), RegionId("aqp"));
  REQUIRE(link == budgets.LinkBetween(RegionId("lim"), RegionId("aqp")));
  const RuleSet rules =
      RulesFrom("link from=lim to=aqp budget=0.001MB/s # R\n");
  ManualClock clock;
  const LinkVolume small{ByteCount(100), ByteCount(0)};
  REQUIRE(LinkBudget::TryTake(*link, small, rules, clock.Now()));
  const LinkVolume large{ByteCount(3000), ByteCount(0)};
  LinkBudget::ChargeExcess(*link, small, large, rules, clock.Now());
  clock.Advance(milliseconds(2050));
  REQUIRE_FALSE(LinkBudget::TryTake(*link, small, rules, clock.Now()));
  clock.Advance(milliseconds(50));
  REQUIRE(LinkBudget::TryTake(*link, small, rules, clock.Now()));
}

TEST_CASE("rollout quotas add up to the slots outside the reserve") {
  rc::prop("the quotas of all ranks add up", [] {
    const auto slots = *rc::gen::inRange(0U, 200U);
    const auto tenths = *rc::gen::inRange(0U, 11U);
    const auto count = *rc::gen::inRange(1U, 420U);
    const auto hash = *rc::gen::arbitrary<std::uint64_t>();
    std::uint32_t sum = 0;
    for (std::uint32_t rank = 0; rank < count; ++rank) {
      sum += RolloutQuota(slots, tenths / 10.0, {rank, count}, hash);
    }
    RC_ASSERT(sum == slots * (10 - tenths) / 10);
  });
}

TEST_CASE(
    "cache hints follow events; a gap invalidates the hints of an engine") {
  CacheHints hints(64);
  hints.ApplyEvent(1, {5, CacheChange::kStored, 100});
  hints.ApplyEvent(1, {6, CacheChange::kStored, 200});
  hints.ApplyEvent(2, {1, CacheChange::kStored, 300});
  REQUIRE(hints.Find(100) == 1);
  hints.ApplyEvent(1, {6, CacheChange::kEvicted, 100});
  REQUIRE(hints.Find(100) == 1);
  hints.ApplyEvent(1, {7, CacheChange::kEvicted, 100});
  REQUIRE_FALSE(hints.Find(100).has_value());
  REQUIRE(hints.Find(200) == 1);
  hints.ApplyEvent(1, {9, CacheChange::kStored, 400});
  REQUIRE_FALSE(hints.Find(200).has_value());
  REQUIRE(hints.Find(400) == 1);
  REQUIRE(hints.Find(300) == 2);
  hints.RemoveEngine(2);
  REQUIRE_FALSE(hints.Find(300).has_value());
  hints.ApplyEvent(2, {1, CacheChange::kStored, 300});
  REQUIRE(hints.Find(300) == 2);
}

TEST_CASE("cache hints do not exceed their capacity") {
  CacheHints hints(64);
  for (std::uint64_t i = 1; i <= 10'000; ++i) {
    hints.ApplyEvent(i % 3, {i, CacheChange::kStored, i});
  }
  REQUIRE(hints.size() <= 64);
}

}  // namespace
}  // namespace briarspread
