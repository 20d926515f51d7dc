#include "briarspread/forward/durable_suspects.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/support/async_memory_store.h"
#include "tests/support/loop_runner.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::AsyncMemoryStore;
using briarspread::testing::ManualClock;
using Fault = AsyncMemoryStore::Fault;

const Fingerprint kCrashing(1);
const Fingerprint kOther(2);
constexpr auto kKey = DurableSuspects::kKey;

/// A store and its instances. Each has a rank among the writers.
struct Site {
  struct Instance {
    Instance(Site& site, const std::string& name, std::size_t rank)
        : site(site),
          table({}, InstanceId(name), site.clock),
          durable(
              site.loop, table, site.store, site.clock,
              [rank](Fingerprint) { return rank; }, site.settings) {
      table.SetOnConvictionChanged(
          [this](Fingerprint it) { durable.OnConvictionChanged(it); });
    }
    /// Records the ends of three upstreams, one after the other.
    void Crash(Fingerprint request) {
      for (int i = 0; i < 3; ++i) {
        const TimePoint sent = site.clock.Now();
        site.clock.Advance(seconds(1));
        table.RecordCrash(UpstreamId("u" + std::to_string(site.crashes++)),
                          {{request, sent, site.clock.Now()}});
      }
    }
    /// The same, and waits until the conviction is in the store.
    void CrashUntilKept() {
      Crash(kCrashing);
      site.Await([this] { return site.IsKept(); });
    }
    void Start() {
      durable.Start();
      site.Await([this] { return durable.is_initial_read_done(); });
    }

    Site& site;
    SuspectTable table;
    DurableSuspects durable;
  };

  Site() {
    settings.write_delay = milliseconds(1);
    settings.backup_delay = milliseconds(40);
    settings.retry_delay = milliseconds(5);
    settings.max_start_wait = milliseconds(60);
  }
  template <typename IsDone>
  void Await(const IsDone& is_done) {
    REQUIRE(briarspread::testing::RunUntil(loop, [&] {
      store.Deliver();
      return is_done();
    }));
  }
  void Wait(milliseconds time) {
    LoopTimer timer(loop);
    bool is_over = false;
    timer.After(time, [&] { is_over = true; });
    Await([&] { return is_over; });
  }
  bool IsKept() const { return store.items().contains(kKey); }

  asio::io_context loop;
  ManualClock clock;
  AsyncMemoryStore store;
  DurableSuspectsSettings settings;
  int crashes = 0;
};

TEST_CASE("a conviction is kept in the store, and read at a start") {
  Site site;
  Site::Instance one(site, "one", 0);
  one.CrashUntilKept();
  site.clock.Advance(seconds(5));
  Site::Instance two(site, "two", 0);
  two.Start();
  REQUIRE(two.table.IsRefused(kCrashing));
  // The time since the last crash goes on while nobody runs.
  REQUIRE(*two.table.TimeUntilTrial(kCrashing) <= seconds(5));
}

TEST_CASE("an instance that is no writer calls the store for no conviction") {
  Site site;
  Site::Instance third(site, "third", site.settings.max_writers);
  third.Crash(kCrashing);
  site.Wait(milliseconds(100));
  REQUIRE(site.store.calls() == 0);
}

TEST_CASE("the second writer writes a conviction that the first one did not") {
  Site site;
  Site::Instance second(site, "second", 1);
  second.Crash(kCrashing);
  REQUIRE_FALSE(site.IsKept());
  site.Await([&] { return site.IsKept(); });
  // A conviction that is there already is only read.
  Site::Instance first(site, "first", 0);
  const StoreIndex written = site.store.items().at(kKey).index;
  first.table.Merge(second.table.All());
  site.Wait(milliseconds(60));
  REQUIRE(site.store.items().at(kKey).index == written);
}

TEST_CASE("convictions of two writers are both kept") {
  Site site;
  Site::Instance one(site, "one", 0);
  Site::Instance two(site, "two", 0);
  one.Crash(kCrashing);
  two.Crash(kOther);
  // Both have read that nothing is there before either writes.
  Site::Instance later(site, "later", 0);
  site.Await([&] {
    later.durable.ReadAgain();
    return later.table.refused_count() == 2;
  });
}

TEST_CASE("a conviction that was taken back is removed, and not read back") {
  Site site;
  Site::Instance one(site, "one", 0);
  one.CrashUntilKept();
  site.clock.Advance(seconds(1));
  one.table.RecordAnswer(kCrashing);
  const std::string before = site.store.items().at(kKey).value;
  site.Await([&] { return site.store.items().at(kKey).value != before; });
  REQUIRE_FALSE(one.table.IsRefused(kCrashing));
  Site::Instance two(site, "two", 0);
  two.Start();
  REQUIRE_FALSE(two.table.has_suspects());
}

TEST_CASE("the number of trials is kept") {
  Site site;
  Site::Instance one(site, "one", 0);
  one.CrashUntilKept();
  const std::string before = site.store.items().at(kKey).value;
  site.clock.Advance(seconds(20));
  REQUIRE(one.table.StartTrial(kCrashing));
  site.Await([&] { return site.store.items().at(kKey).value != before; });
  Site::Instance two(site, "two", 0);
  two.Start();
  REQUIRE(*two.table.TimeUntilTrial(kCrashing) > seconds(90));
}

TEST_CASE("a start waits for the store for a limited time, then reads on") {
  Site site;
  Site::Instance one(site, "one", 0);
  one.CrashUntilKept();
  site.store.SetFault(Fault::kRefuse);
  Site::Instance two(site, "two", 0);
  two.Start();
  REQUIRE_FALSE(two.table.has_suspects());
  site.store.SetFault(Fault::kNone);
  site.Await([&] { return two.table.IsRefused(kCrashing); });
}

TEST_CASE("a write whose answer is lost is made good") {
  for (const Fault fault : {Fault::kLoseAnswer, Fault::kLoseCall}) {
    Site site;
    Site::Instance one(site, "one", 0);
    site.store.FailNextCommit(kKey, fault);
    one.Crash(kCrashing);
    site.Wait(milliseconds(60));
    REQUIRE(site.IsKept());
    Site::Instance two(site, "two", 0);
    two.Start();
    REQUIRE(two.table.IsRefused(kCrashing));
  }
}

TEST_CASE("a malformed value is ignored, and replaced by the next conviction") {
  for (const std::string& value :
       {std::string("broken"), std::string("{}"),
        std::string(R"({"written_ms":1,"evidence":"{}"})"),
        std::string(R"({"written_ms":"1","evidence":[]})")}) {
    CAPTURE(value);
    Site site;
    site.store.Write(kKey, value);
    Site::Instance one(site, "one", 0);
    one.Start();
    REQUIRE_FALSE(one.table.has_suspects());
    one.Crash(kCrashing);
    site.Await([&] { return site.store.items().at(kKey).value != value; });
  }
}

TEST_CASE("what is known here is not replaced by what the store has") {
  Site site;
  Site::Instance one(site, "one", 0);
  one.CrashUntilKept();
  Site::Instance two(site, "two", 0);
  two.table.Merge(one.table.All());
  two.table.RecordAnswer(kCrashing);
  // A writer's wall clock that is far ahead makes its crashes look new.
  two.table.MergeInexact(one.table.All());
  REQUIRE_FALSE(two.table.has_suspects());
}

TEST_CASE("a stored conviction is taken over by who has seen one crash since") {
  Site site;
  Site::Instance one(site, "one", 0);
  one.CrashUntilKept();
  Site::Instance two(site, "two", 0);
  const TimePoint sent = site.clock.Now();
  site.clock.Advance(seconds(1));
  two.table.RecordCrash(UpstreamId("later"),
                        {{kCrashing, sent, site.clock.Now()}});
  two.Start();
  REQUIRE(two.table.IsRefused(kCrashing));
}

}  // namespace
}  // namespace briarspread::forward
