#include "briarspread/contracts/recent_answers.h"

#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"

namespace briarspread::testing {
namespace {

TEST_CASE("answers are remembered for their time, up to their number") {
  ManualClock clock;
  RecentAnswers answers({seconds(10), 3}, clock);
  answers.Record(Fingerprint(1));
  const TimePoint first = clock.Now();
  REQUIRE(answers.Find(Fingerprint(1)) == first);
  clock.Advance(seconds(6));
  answers.Record(Fingerprint(1));
  clock.Advance(seconds(6));
  REQUIRE(answers.Find(Fingerprint(1)) == first + seconds(6));
  clock.Advance(seconds(6));
  REQUIRE_FALSE(answers.Find(Fingerprint(1)).has_value());
  for (std::uint64_t i = 2; i < 9; ++i) answers.Record(Fingerprint(i));
  REQUIRE(answers.size() == 3);
  REQUIRE_FALSE(answers.Find(Fingerprint(5)).has_value());
  REQUIRE(answers.Find(Fingerprint(8)).has_value());
}

}  // namespace
}  // namespace briarspread::testing
