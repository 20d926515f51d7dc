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
  LeaseFixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.first.Step();
    fixture.second.Step();
    CHECK(fixture.first.View().is_held);
    CHECK_FALSE(fixture.second.View().is_held);
    fixture.Advance(seconds(2));
  }
  CHECK(fixture.first.View().fencing == FencingNumber(1));
}

TEST_CASE("a paused holder's lease expires before another takes over") {
  LeaseFixture fixture;
  fixture.first.Step();
  fixture.second.Step();
  for (int i = 0; i < 40; ++i) {
    fixture.Advance(seconds(1));
    fixture.second.Step();
    const bool are_both =
        fixture.first.View().is_held && fixture.second.View().is_held;
    REQUIRE_FALSE(are_both);
  }
  CHECK(fixture.second.View().is_held);
  CHECK(fixture.second.View().fencing == FencingNumber(2));
  CHECK_FALSE(fixture.second.View().after_release);
  fixture.first.Step();
  CHECK_FALSE(fixture.first.View().is_held);
}

TEST_CASE("a contender waits the whole duration from its first read") {
  LeaseFixture fixture;
  fixture.first.Step();
  fixture.Advance(seconds(29));
  fixture.second.Step();
  fixture.Advance(seconds(30));
  fixture.second.Step();
  CHECK_FALSE(fixture.second.View().is_held);
  fixture.Advance(seconds(1));
  fixture.second.Step();
  CHECK(fixture.second.View().is_held);
}

TEST_CASE("after a lost response to the acquiring write the record is read") {
  LeaseFixture fixture;
  fixture.store.LoseWriteAnswers(1);
  fixture.first.Step();
  CHECK_FALSE(fixture.first.View().is_held);
  fixture.first.Step();
  CHECK(fixture.first.View().is_held);
  CHECK(fixture.first.View().fencing == FencingNumber(1));
}

TEST_CASE("after a lost response to a renewal the record is read") {
  LeaseFixture fixture;
  fixture.first.Step();
  fixture.Advance(seconds(11));
  fixture.store.LoseWriteAnswers(1);
  fixture.first.Step();
  fixture.first.Step();
  fixture.Advance(seconds(25));
  // Past the end of the first write's duration, but not of the renewal's.
  CHECK(fixture.first.View().is_held);
}

TEST_CASE("a released lease is acquired at once with a new fencing number") {
  LeaseFixture fixture;
  fixture.first.Step();
  fixture.second.Step();
  fixture.first.Release();
  CHECK_FALSE(fixture.first.View().is_held);
  fixture.second.Step();
  CHECK(fixture.second.View().is_held);
  CHECK(fixture.second.View().after_release);
  CHECK(fixture.second.View().fencing == FencingNumber(2));
}

TEST_CASE("in an outage of the store the lease expires and nobody takes over") {
  LeaseFixture fixture;
  fixture.first.Step();
  fixture.second.Step();
  fixture.store.SetOutage(true);
  for (int i = 0; i < 100; ++i) {
    fixture.Advance(seconds(1));
    fixture.first.Step();
    fixture.second.Step();
    CHECK_FALSE(fixture.second.View().is_held);
  }
  CHECK_FALSE(fixture.first.View().is_held);
  fixture.store.SetOutage(false);
  for (int i = 0; i < 3; ++i) {
    fixture.first.Step();
    fixture.second.Step();
  }
  CHECK(fixture.first.View().is_held != fixture.second.View().is_held);
}

TEST_CASE("an unparsable record is replaced after a lease's duration") {
  LeaseFixture fixture;
  fixture.store.CompareAndSwap("lease", "not json", StoreIndex(0));
  fixture.first.Step();
  CHECK_FALSE(fixture.first.View().is_held);
  fixture.Advance(seconds(31));
  fixture.first.Step();
  CHECK(fixture.first.View().is_held);
}

}  // namespace briarspread
