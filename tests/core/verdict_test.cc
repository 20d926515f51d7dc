#include "briarspread/core/verdict.h"

#include <catch2/catch.hpp>

#include "briarspread/core/rcu_cell.h"
#include "briarspread/core/rendezvous.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

TEST_CASE("a verdict round-trips through its name") {
  for (Verdict v :
       {Verdict::kAnswered, Verdict::kNotRun, Verdict::kMayHaveRun}) {
    REQUIRE(ParseVerdict(ToString(v)) == v);
  }
  REQUIRE_FALSE(ParseVerdict("ran").has_value());
}

TEST_CASE(
    "only unanswered requests that did not run or are idempotent are re-sent") {
  REQUIRE(IsRetryable(Verdict::kNotRun, false));
  REQUIRE_FALSE(IsRetryable(Verdict::kMayHaveRun, false));
  REQUIRE(IsRetryable(Verdict::kMayHaveRun, true));
  REQUIRE_FALSE(IsRetryable(Verdict::kAnswered, true));
}

TEST_CASE("removing a node moves only the keys for which it was first") {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> fewer = {"a", "b", "d"};
  for (int i = 0; i < 200; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string& before = all[RendezvousFirst(key, all)];
    if (before == "c") continue;
    REQUIRE(fewer[RendezvousFirst(key, fewer)] == before);
  }
}

TEST_CASE("a published value replaces the previous one") {
  RcuCell<int> cell(std::make_unique<const int>(1));
  REQUIRE(*cell.Read() == 1);
  cell.Publish(std::make_unique<const int>(2));
  REQUIRE(*cell.Read() == 2);
}

TEST_CASE("a thread is in an RCU read section while it holds a guard") {
  RcuCell<int> cell(std::make_unique<const int>(1));
  REQUIRE_FALSE(IsInRcuReadSection());
  {
    const auto guard = cell.Read();
    REQUIRE(IsInRcuReadSection());
  }
  REQUIRE_FALSE(IsInRcuReadSection());
}

TEST_CASE("a write whose answer is lost takes effect") {
  testing::MemoryStore store;
  store.LoseWriteAnswers(1);
  const auto lost = store.CompareAndSwap("k", "v", StoreIndex(0));
  REQUIRE(ErrorOf(lost).verdict == Verdict::kMayHaveRun);
  REQUIRE(ValueOf(store.Get("k"))->value == "v");
  store.SetOutage(true);
  REQUIRE_FALSE(IsOk(store.Get("k")));
}

}  // namespace
}  // namespace briarspread
