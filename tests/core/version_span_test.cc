#include "briarspread/core/version_span.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

TEST_CASE("consecutive tokens of one version form one span") {
  std::vector<VersionSpan> spans;
  for (std::uint32_t i = 0; i < 3; ++i) {
    AppendToken(spans, WeightVersion(5), i);
  }
  AppendToken(spans, WeightVersion(4), 3);
  REQUIRE(spans.size() == 2);
  REQUIRE(OldestVersion(spans) == WeightVersion(4));
  REQUIRE(FormatVersions(spans) == "4,5");
  REQUIRE(CoversAllTokens(spans, 4));
}

TEST_CASE(
    "spans with gaps, overlaps or missing tokens do not cover all tokens") {
  REQUIRE_FALSE(CoversAllTokens({}, 0));
  REQUIRE_FALSE(CoversAllTokens({{WeightVersion(1), 0, 3}}, 4));
  REQUIRE_FALSE(
      CoversAllTokens({{WeightVersion(1), 0, 2}, {WeightVersion(2), 3, 4}}, 4));
  REQUIRE_FALSE(
      CoversAllTokens({{WeightVersion(1), 0, 2}, {WeightVersion(2), 1, 4}}, 4));
}

}  // namespace
}  // namespace briarspread
