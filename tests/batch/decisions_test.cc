// Tests of the order and placement of items, the homes of jobs, and the index
// of jobs. Comments name the load that a decision is designed for.

#include <catch2/catch.hpp>
#include <set>

#include "briarspread/batch/engine_placement.h"
#include "briarspread/batch/item_order.h"
#include "briarspread/batch/job_index.h"
#include "briarspread/batch/peer_engine_loads.h"
#include "briarspread/batch/placement_pauses.h"
#include "tests/support/manual_clock.h"

namespace briarspread::batch {
namespace {

using briarspread::testing::ManualClock;

EngineView Engine(const std::string& id, std::uint32_t own = 0) {
  EngineView engine;
  engine.id = UpstreamId(id);
  engine.slots = 4;
  engine.own_in_flight = own;
  engine.version = WeightVersion(5);
  engine.event_interval = milliseconds(40);
  engine.is_interval_fresh = true;
  return engine;
}

const EnginePlacement kPlacement{EnginePlacementSettings{}};

TEST_CASE("jobs run by due time, their resumed items first, then the longest") {
  const TimePoint now{};
  const std::vector<WaitingItem> waiting = {
      {now + seconds(5), false, 100},
      {now + seconds(3), false, 10},
      {now + seconds(3), false, 900},
      {now + seconds(3), true, 5},
  };
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(RunsBefore(waiting[3], waiting[i]));
  }
  REQUIRE(RunsBefore(waiting[2], waiting[1]));
  REQUIRE(RunsBefore(waiting[1], waiting[0]));
}

// Load: a step with far more items than slots. Items beyond the slots wait in
// the runner, where they can still be placed on any engine.
TEST_CASE("engines are filled evenly and only up to their slots") {
  std::vector<EngineView> engines = {Engine("a"), Engine("b"), Engine("c")};
  const EngineRequirements need{WeightVersion(5), {}, {}, 0, 1};
  int placed = 0;
  while (const auto at = kPlacement.Choose(need, engines)) {
    ++engines[*at].own_in_flight;
    ++placed;
    const auto [least, most] =
        std::minmax({engines[0].own_in_flight, engines[1].own_in_flight,
                     engines[2].own_in_flight});
    REQUIRE(most - least <= 1);
  }
  REQUIRE(placed == 12);
}

// Load: two owners whose steps start at the same time.
TEST_CASE("items of other instances occupy slots of an engine") {
  std::vector<EngineView> engines = {Engine("a", 1), Engine("b", 2)};
  engines[0].peer_in_flight = 3;
  const auto at = kPlacement.Choose({WeightVersion(5), {}, {}, 0, 1}, engines);
  REQUIRE(at == 1);
  engines[1].peer_in_flight = 2;
  REQUIRE_FALSE(
      kPlacement.Choose({WeightVersion(5), {}, {}, 0, 1}, engines).has_value());
}

TEST_CASE("a load report is corrected by the change of own items since then") {
  EngineView engine = Engine("a", 3);
  engine.reported_load = 5;
  engine.own_in_flight_at_report = 1;
  REQUIRE(EstimatedLoad(engine) == 7);
  engine.reported_load = 0;
  engine.own_in_flight_at_report = 3;
  REQUIRE(EstimatedLoad(engine) == 3);
}

TEST_CASE("engines that are old, unusable or avoided are not chosen") {
  std::vector<EngineView> engines = {Engine("old"), Engine("shut"),
                                     Engine("bad"), Engine("good", 3)};
  engines[0].version = WeightVersion(4);
  engines[1].is_usable = false;
  const EngineRequirements need{
      WeightVersion(5), {UpstreamId("bad")}, {}, 0, 1};
  REQUIRE(kPlacement.Choose(need, engines) == 3);
}

// Load: one engine in four is three times slower than the others.
TEST_CASE("a slow engine gets no item while a faster one may run it") {
  std::vector<EngineView> engines = {Engine("slow"), Engine("sound", 4)};
  engines[0].event_interval = milliseconds(120);
  const EngineRequirements need{WeightVersion(5), {}, {}, 0, 1};
  REQUIRE_FALSE(kPlacement.Choose(need, engines).has_value());
  // Once the measured interval is stale, a single item is placed as a trial.
  engines[0].is_interval_fresh = false;
  REQUIRE(kPlacement.Choose(need, engines) == 0);
  engines[0].own_in_flight = 1;
  REQUIRE_FALSE(kPlacement.Choose(need, engines).has_value());
  // If no other engine may run the item, the slow engine does.
  engines[1].version = WeightVersion(4);
  engines[0].is_interval_fresh = true;
  REQUIRE(kPlacement.Choose(need, engines) == 0);
}

// Load: several owners that place items while an engine has just started.
TEST_CASE("an engine in slow start gets items up to its limits") {
  std::vector<EngineView> engines = {Engine("new"), Engine("old", 4)};
  const EngineRequirements need{WeightVersion(5), {}, {}, 0, 1};
  engines[0].paced = PacedSlots{2, 1};
  REQUIRE(kPlacement.Choose(need, engines) == 0);
  engines[0].own_in_flight = 1;
  REQUIRE_FALSE(kPlacement.Choose(need, engines).has_value());
  engines[0].paced = PacedSlots{2, 2};
  REQUIRE(kPlacement.Choose(need, engines) == 0);
  engines[0].peer_in_flight = 1;
  REQUIRE_FALSE(kPlacement.Choose(need, engines).has_value());
  // Guards against items that wait while all engines that may run them start.
  engines[1].version = WeightVersion(4);
  REQUIRE(kPlacement.Choose(need, engines) == 0);
}

TEST_CASE("only instances that run items share the limit of a slow start") {
  ManualClock clock;
  const UpstreamId engine("a");
  const std::vector<InstanceId> names = {InstanceId("x"), InstanceId("y"),
                                         InstanceId("z")};
  std::set<std::uint32_t> ranks;
  for (const InstanceId& self : names) {
    PeerEngineLoads loads(seconds(2), clock);
    loads.Put(InstanceId("idle"), {});
    REQUIRE(loads.ShareOf(engine, self).count == 1);
    for (const InstanceId& peer : names) loads.Put(peer, {{engine, 1}});
    REQUIRE(loads.ShareOf(engine, self).count == 3);
    ranks.insert(loads.ShareOf(engine, self).rank);
  }
  REQUIRE(ranks.size() == 3);
}

// Guards against a failure of a simulated day: all items of a slow engine moved
// to one free slot.
TEST_CASE("an item is moved only while a faster engine has room") {
  std::vector<EngineView> engines = {Engine("slow", 4), Engine("sound", 3)};
  engines[0].event_interval = milliseconds(120);
  const EngineRequirements need{WeightVersion(5), {}, {}, 0, 1};
  int moved = 0;
  for (int i = 0; i < 4; ++i) {
    if (!kPlacement.IsWorthMoving(0, need, engines)) continue;
    ++moved;
    --engines[0].own_in_flight;
    ++engines[1].own_in_flight;
  }
  REQUIRE(moved == 1);
  REQUIRE_FALSE(kPlacement.IsWorthMoving(1, need, engines));
}

// Load: long contexts, of which an engine's memory holds fewer than the engine
// has slots. An engine with too many preempts requests and reads them again.
TEST_CASE("memory is not overfilled, but an empty engine accepts any item") {
  std::vector<EngineView> engines = {Engine("a", 2), Engine("b", 3)};
  engines[0].free_tokens = 500;
  engines[1].free_tokens = 5000;
  REQUIRE(kPlacement.Choose({WeightVersion(5), {}, {}, 900, 1}, engines) == 1);
  engines[0].own_in_flight = 0;
  engines[1].free_tokens = 100;
  REQUIRE(kPlacement.Choose({WeightVersion(5), {}, {}, 900, 1}, engines) == 0);
}

// Load: engines whose event intervals differ by half, and a step that ends with
// its longest item.
TEST_CASE("the speed of an engine counts more for longer items") {
  std::vector<EngineView> engines = {Engine("fast", 2), Engine("slower", 1)};
  engines[1].event_interval = milliseconds(60);
  EngineRequirements need{WeightVersion(5), {}, {}, 0, 1};
  need.relative_length = 0.2;
  REQUIRE(kPlacement.Choose(need, engines) == 1);
  need.relative_length = 3;
  REQUIRE(kPlacement.Choose(need, engines) == 0);
}

TEST_CASE("cached prompt and region decide between equally loaded engines") {
  std::vector<EngineView> engines = {Engine("a"), Engine("b")};
  engines[0].is_same_region = false;
  REQUIRE(kPlacement.Choose({WeightVersion(5), {}, {}, 0, 1}, engines) == 1);
  engines[0].is_same_region = true;
  REQUIRE(kPlacement.Choose({WeightVersion(5), {}, UpstreamId("b"), 0, 1},
                            engines) == 1);
}

TEST_CASE("the index keeps a job's latest record and evicts the oldest job") {
  JobIndex index(2);
  const auto put = [&](const std::string& id, std::uint64_t at, int age) {
    StoredRecord stored;
    stored.id = JobId(id);
    stored.index = StoreIndex(at);
    stored.record.submitted = WallTime(seconds(age));
    index.Put(stored);
  };
  put("x", 5, 1);
  put("x", 4, 1);
  REQUIRE(index.Find(JobId("x"))->index == StoreIndex(5));
  put("y", 6, 2);
  put("z", 7, 3);
  REQUIRE(index.Find(JobId("x")) == nullptr);
  REQUIRE(index.all().size() == 2);
}

// Guards against weights that are loaded on too few engines because the jobs
// that need them are not known.
TEST_CASE("the index knows the items at once of a model, or that it does not") {
  JobIndex index(8);
  const auto put = [&](const std::string& id, const std::string& model,
                       std::uint64_t items, bool is_ended) {
    StoredRecord stored{JobId(id), {}, StoreIndex(5)};
    stored.record.model = ModelName(model);
    stored.record.total = items;
    stored.record.is_ended = is_ended;
    index.Put(
        {stored.id, *DecodeJobRecord(Encode(stored.record)), stored.index});
  };
  REQUIRE_FALSE(index.ItemsAtOnce(ModelName("m")));
  put("x", "m", 64, true);
  put("y", "m", 16, false);
  put("other", "n", 500, false);
  REQUIRE(index.ItemsAtOnce(ModelName("m")) == 64);
  put("z", "m", 60, false);
  REQUIRE(index.ItemsAtOnce(ModelName("m")) == 76);
  put("from an earlier build", "", 1, false);
  REQUIRE_FALSE(index.ItemsAtOnce(ModelName("m")));
}

TEST_CASE("load reports of peers add up, are replaced and expire") {
  ManualClock clock;
  PeerEngineLoads board(seconds(2), clock);
  board.Put(InstanceId("p"),
            *ParseEngineLoads(FormatEngineLoads({{UpstreamId("e"), 3}})));
  board.Put(InstanceId("q"), {{UpstreamId("e"), 2}});
  REQUIRE(board.LoadAt(UpstreamId("e")) == 5);
  board.Put(InstanceId("q"), {});
  REQUIRE(board.LoadAt(UpstreamId("e")) == 3);
  clock.Advance(seconds(3));
  REQUIRE(board.LoadAt(UpstreamId("e")) == 0);
  REQUIRE_FALSE(ParseEngineLoads("[1]").has_value());
  REQUIRE_FALSE(ParseEngineLoads("{\"e\":-1}").has_value());
}

TEST_CASE("an item whose runs break at once is placed after growing pauses") {
  const PlacementPausesSettings settings;
  PlacementPauses pauses(settings);
  TimePoint now{};
  constexpr std::size_t kItem = 3;
  for (std::uint32_t run = 0; run < settings.free_runs; ++run) {
    pauses.RecordEmptyRun(kItem, now);
    REQUIRE_FALSE(pauses.IsPausing(kItem, now));
  }
  for (milliseconds pause = settings.initial_pause;
       pause < 4 * settings.max_pause; pause *= 2) {
    pauses.RecordEmptyRun(kItem, now);
    REQUIRE_FALSE(pauses.IsPausing(kItem + 1, now));
    now += std::min(pause, settings.max_pause);
    REQUIRE(pauses.IsPausing(kItem, now - milliseconds(1)));
    REQUIRE_FALSE(pauses.IsPausing(kItem, now));
  }
  pauses.RecordOtherRun(kItem);
  pauses.RecordEmptyRun(kItem, now);
  REQUIRE_FALSE(pauses.IsPausing(kItem, now));
}

}  // namespace
}  // namespace briarspread::batch
