#include "briarspread/core/memory_budget.h"

#include <catch2/catch.hpp>
#include <utility>

namespace briarspread {
namespace {

constexpr std::size_t kLimit = 800;

TEST_CASE("large bodies leave a part of the budget for all others") {
  // Otherwise a few large bodies would make an instance refuse every caller,
  // and its peers.
  MemoryBudget budget(kLimit);
  MemoryReservation bulk(&budget, MemoryHolder::kRequests);
  REQUIRE(bulk.TryGrowTo(600, MemoryPriority::kBulk));
  REQUIRE_FALSE(bulk.TryGrowTo(601, MemoryPriority::kBulk));
  REQUIRE(bulk.bytes() == 600);
  MemoryReservation small(&budget, MemoryHolder::kRequests);
  REQUIRE(small.TryGrowTo(100, MemoryPriority::kOrdinary));
  REQUIRE_FALSE(small.TryGrowTo(101, MemoryPriority::kOrdinary));
  MemoryReservation essential(&budget, MemoryHolder::kResponses);
  REQUIRE(essential.TryGrowTo(100, MemoryPriority::kEssential));
  REQUIRE_FALSE(essential.TryGrowTo(101, MemoryPriority::kEssential));
  REQUIRE(budget.used() == kLimit);
  REQUIRE(budget.IsTight());
}

TEST_CASE("bytes are released exactly once, also after a move") {
  // A leak would shrink the budget for the rest of the process's life.
  MemoryBudget budget(kLimit);
  {
    MemoryReservation first(&budget, MemoryHolder::kRequests);
    REQUIRE(first.TryGrowTo(50, MemoryPriority::kOrdinary));
    MemoryReservation second = std::move(first);
    MemoryReservation third(&budget, MemoryHolder::kResponses);
    third.Set(30);
    third = std::move(second);
    REQUIRE(budget.used() == 50);
    REQUIRE(budget.used(MemoryHolder::kResponses) == 0);
    REQUIRE(budget.UsedByHolder().at("requests") == 50);
  }
  REQUIRE(budget.used() == 0);
}

TEST_CASE("bytes that are held already are counted beyond the limit") {
  MemoryBudget budget(kLimit);
  MemoryReservation held(&budget, MemoryHolder::kResponses);
  held.Set(2 * kLimit);
  MemoryReservation other(&budget, MemoryHolder::kRequests);
  REQUIRE_FALSE(other.TryGrowTo(1, MemoryPriority::kEssential));
  held.Set(10);
  REQUIRE(other.TryGrowTo(1, MemoryPriority::kBulk));
}

TEST_CASE("a reservation may outlive its budget") {
  // The event loop releases the last operations after the instance is gone.
  MemoryReservation last;
  {
    MemoryBudget budget(kLimit);
    last = MemoryReservation(&budget, MemoryHolder::kRequests);
    last.Set(1);
  }
  last.Release();
  REQUIRE(last.bytes() == 0);
}

TEST_CASE("a reservation without a budget has no limit") {
  MemoryReservation any;
  REQUIRE(any.TryGrowTo(std::size_t{1} << 40U, MemoryPriority::kBulk));
}

}  // namespace
}  // namespace briarspread
