#include "briarspread/weights/lease.h"

#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

using testing::ManualClock;
using testing::MemoryStore;

/// Two contenders, one store, one clock.
struct World {
  MemoryStore store;
  ManualClock clock;
  SeededRandom random{1};
  LeaseSettings settings{.key = "lease"};
  Lease first{settings, InstanceId("a"), Incarnation(1), store, clock, random};
  Lease second{settings, InstanceId("b"), Incarnation(1), store, clock, random};

  void Advance(seconds span) { clock.Advance(span); }
};

}  // namespace

TEST_CASE("one contender gets the lease and keeps it by renewing") {
  World world;
  for (int i = 0; i < 100; ++i) {
    world.first.Step();
    world.second.Step();
    CHECK(world.first.View().held);
    CHECK_FALSE(world.second.View().held);
    world.Advance(seconds(2));
  }
  CHECK(world.first.View().fencing == FencingNumber(1));
}

TEST_CASE("a paused holder stops by its own clock before another takes over") {
  World world;
  world.first.Step();
  world.second.Step();
  for (int i = 0; i < 40; ++i) {
    world.Advance(seconds(1));
    world.second.Step();
    const bool both = world.first.View().held && world.second.View().held;
    REQUIRE_FALSE(both);
  }
  CHECK(world.second.View().held);
  CHECK(world.second.View().fencing == FencingNumber(2));
  CHECK_FALSE(world.second.View().after_release);
  world.first.Step();
  CHECK_FALSE(world.first.View().held);
}

TEST_CASE("a contender counts the whole duration from when it first looked") {
  World world;
  world.first.Step();
  world.Advance(seconds(29));
  world.second.Step();
  world.Advance(seconds(30));
  world.second.Step();
  CHECK_FALSE(world.second.View().held);
  world.Advance(seconds(1));
  world.second.Step();
  CHECK(world.second.View().held);
}

TEST_CASE("a lost answer to the acquiring write is read back") {
  World world;
  world.store.LoseWriteAnswers(1);
  world.first.Step();
  CHECK_FALSE(world.first.View().held);
  world.first.Step();
  CHECK(world.first.View().held);
  CHECK(world.first.View().fencing == FencingNumber(1));
}

TEST_CASE("a lost answer to a renewal is read back") {
  World world;
  world.first.Step();
  world.Advance(seconds(11));
  world.store.LoseWriteAnswers(1);
  world.first.Step();
  world.first.Step();
  world.Advance(seconds(25));
  // Beyond the first write's hold, within the renewal's.
  CHECK(world.first.View().held);
}

TEST_CASE("a lease given up is taken at once, with a higher fencing number") {
  World world;
  world.first.Step();
  world.second.Step();
  world.first.Release();
  CHECK_FALSE(world.first.View().held);
  world.second.Step();
  CHECK(world.second.View().held);
  CHECK(world.second.View().after_release);
  CHECK(world.second.View().fencing == FencingNumber(2));
}

TEST_CASE("in an outage the holder stops and nobody takes over") {
  World world;
  world.first.Step();
  world.second.Step();
  world.store.SetOutage(true);
  for (int i = 0; i < 100; ++i) {
    world.Advance(seconds(1));
    world.first.Step();
    world.second.Step();
    CHECK_FALSE(world.second.View().held);
  }
  CHECK_FALSE(world.first.View().held);
  world.store.SetOutage(false);
  for (int i = 0; i < 3; ++i) {
    world.first.Step();
    world.second.Step();
  }
  CHECK(world.first.View().held != world.second.View().held);
}

TEST_CASE("a record that cannot be read is replaced after a lease's time") {
  World world;
  world.store.CompareAndSwap("lease", "not json", StoreIndex(0));
  world.first.Step();
  CHECK_FALSE(world.first.View().held);
  world.Advance(seconds(31));
  world.first.Step();
  CHECK(world.first.View().held);
}

}  // namespace briarspread
