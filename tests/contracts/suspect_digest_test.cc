#include <catch2/catch.hpp>

#include "briarspread/contracts/suspect_table.h"
#include "tests/support/manual_clock.h"

namespace briarspread::testing {
namespace {

TEST_CASE("a malformed digest is rejected") {
  for (const char* text :
       {"", "{}", "[]", R"({"reports":[{}],"clearances":[]})",
        R"({"reports":[],"clearances":[[1,-5]]})",
        R"({"reports":[],"clearances":[],"trials":[[1]]})",
        R"({"reports":[],"clearances":[],"trials":[[1,1,-1]]})"}) {
    REQUIRE_FALSE(IsOk(ParseSuspectDigest(text)));
  }
}

TEST_CASE("reports of an earlier build count, those of one moment once") {
  const auto report = [](int number, int age) {
    return R"({"instance":"old","incarnation":4,"number":)" +
           std::to_string(number) + R"(,"upstream":"u)" +
           std::to_string(number) + R"(@1","age":)" + std::to_string(age) +
           R"(,"in_flight":[[666,false]]})";
  };
  ManualClock clock;
  SuspectTable table({}, InstanceId("entry-0"), clock);
  const auto merge = [&](int number, int age) {
    table.Merge(ValueOf(ParseSuspectDigest(
        R"({"reports":[)" + report(number, age) + R"(],"clearances":[]})")));
  };
  merge(1, 90'000);
  merge(2, 89'990);
  REQUIRE(table.CountCrashes(Fingerprint(666)) == 1);
  merge(3, 60'000);
  merge(4, 30'000);
  REQUIRE(table.CountCrashes(Fingerprint(666)) == 3);
}

}  // namespace
}  // namespace briarspread::testing
