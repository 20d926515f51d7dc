#include "briarspread/forward/stream_origins.h"

#include <catch2/catch.hpp>

#include "briarspread/forward/origin_exchange.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

TEST_CASE("origins are bounded in number and time, and never change") {
  ManualClock clock;
  LocalStreamOriginsSettings settings;
  settings.max_count = 2;
  LocalStreamOrigins origins(settings, clock);
  const auto record = [&](const std::string& id, const std::string& software) {
    origins.Record(AttemptId(id), SoftwareVersion(software));
  };
  record("a", "v1");
  record("a", "v2");
  REQUIRE(origins.Lookup(AttemptId("a")) == SoftwareVersion("v1"));
  record("b", "v1");
  record("c", "v1");
  REQUIRE_FALSE(origins.Lookup(AttemptId("a")).has_value());
  clock.Advance(settings.retention + seconds(1));
  record("d", "v2");
  REQUIRE(origins.size() == 1);
  REQUIRE(origins.Lookup(AttemptId("d")) == SoftwareVersion("v2"));
}

TEST_CASE("origins are restored from their JSON; malformed JSON is rejected") {
  const auto origins = ParseStreamOrigins(
      EncodeStreamOrigins({{AttemptId("a"), SoftwareVersion("v1")}}));
  REQUIRE(origins->at(0).attempt == AttemptId("a"));
  REQUIRE(origins->at(0).software == SoftwareVersion("v1"));
  for (const char* text : {"", "{}", "[1]", R"([{"attempt":"a"}])",
                           R"([{"attempt":"a","software":1}])"}) {
    REQUIRE_FALSE(ParseStreamOrigins(text).has_value());
  }
}

}  // namespace
}  // namespace briarspread::forward
