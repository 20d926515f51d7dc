#include "briarspread/weights/lease.h"

#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

using testing::ManualClock;
using testing::MemoryStore;

/// Two contenders for one lease with a common store and clock.
struct LeaseFixture {
  MemoryStore store;
  ManualClock clock;
  SeededRandom random{1};
  LeaseSettings settings{.key = "lease"};
  Lease first{settings, InstanceId("a"), Incarnation(1), store, clock, random};
  Lease second{settings, InstanceId("b"), Incarnation(1), store, clock, random};

  void Advance(seconds span) { clock.Advance(span); }
};

}  // namespace

TEST_CASE("one contender acquires the lease and holds it by renewal") {
  LeaseFixture world;
  for (int i = 0; i < 100; ++i) {
    world.first.Step();
    world.second.Step();
    CHECK(world.first.View().is_held);
    CHECK_FALSE(world.second.View().is_held);
    world.Advance(seconds(2));
  }
  CHECK(world.first.View().fencing == FencingNumber(1));
}

TEST_CASE("a paused holder's lease expires before another takes over") {
  LeaseFixture world;
  world.first.Step();
  world.second.Step();
  for (int i = 0; i < 40; ++i) {
    world.Advance(seconds(1));
    world.second.Step();
    const bool are_both =
        world.first.View().is_held && world.second.View().is_held;
    REQUIRE_FALSE(are_both);
  }
  CHECK(world.second.View().is_held);
  CHECK(world.second.View().fencing == FencingNumber(2));
  CHECK_FALSE(world.second.View().after_release);
  world.first.Step();
  CHECK_FALSE(world.first.View().is_held);
}

TEST_CASE("a contender waits the whole duration from its first read") {
  LeaseFixture world;
  world.first.Step();
  world.Advance(seconds(29));
  world.second.Step();
  world.Advance(seconds(30));
  world.second.Step();
  CHECK_FALSE(world.second.View().is_held);
  world.Advance(seconds(1));
  world.second.Step();
  CHECK(world.second.View().is_held);
}

TEST_CASE("after a lost response to the acquiring write the record is read") {
  LeaseFixture world;
  world.store.LoseWriteAnswers(1);
  world.first.Step();
  CHECK_FALSE(world.first.View().is_held);
  world.first.Step();
  CHECK(world.first.View().is_held);
  CHECK(world.first.View().fencing == FencingNumber(1));
}

TEST_CASE("after a lost response to a renewal the record is read") {
  LeaseFixture world;
  world.first.Step();
  world.Advance(seconds(11));
  world.store.LoseWriteAnswers(1);
  world.first.Step();
  world.first.Step();
  world.Advance(seconds(25));
  // Past the end of the first write's duration, but not of the renewal's.
  CHECK(world.first.View().is_held);
}

TEST_CASE("a released lease is acquired at once with a new fencing number") {
  LeaseFixture world;
  world.first.Step();
  world.second.Step();
  world.first.Release();
  CHECK_FALSE(world.first.View().is_held);
  world.second.Step();
  CHECK(world.second.View().is_held);
  CHECK(world.second.View().after_release);
  CHECK(world.second.View().fencing == FencingNumber(2));
}

TEST_CASE("in an outage of the store the lease expires and nobody takes over") {
  LeaseFixture world;
  world.first.Step();
  world.second.Step();
  world.store.SetOutage(true);
  for (int i = 0; i < 100; ++i) {
    world.Advance(seconds(1));
    world.first.Step();
    world.second.Step();
    CHECK_FALSE(world.second.View().is_held);
  }
  CHECK_FALSE(world.first.View().is_held);
  world.store.SetOutage(false);
  for (int i = 0; i < 3; ++i) {
    world.first.Step();
    world.second.Step();
  }
  CHECK(world.first.View().is_held != world.second.View().is_held);
}

TEST_CASE("an unparsable record is replaced after a lease's duration") {
  LeaseFixture world;
  world.store.CompareAndSwap("lease", "not json", StoreIndex(0));
  world.first.Step();
  CHECK_FALSE(world.first.View().is_held);
  world.Advance(seconds(31));
  world.first.Step();
  CHECK(world.first.View().is_held);
}

}  // namespace briarspread
