// Which requests an instance takes during a planned stop. They answer this
// load: callers on kept connections go on sending for some seconds, to replicas
// of which some take nearly as long as the grace period.

#include "briarspread/forward/stop_schedule.h"

#include <catch2/catch.hpp>

namespace briarspread::forward {
namespace {

const TimePoint kNow{seconds(100)};
const TimePoint kEnd = kNow + seconds(6);

LateRequest Request(bool is_idempotent, std::optional<Duration> expected,
                    Duration time = seconds(10)) {
  return LateRequest{is_idempotent, kNow + time, expected};
}

TEST_CASE("before the stop every request is taken") {
  const StopSchedule stop;
  REQUIRE(stop.CanTake(Request(false, std::nullopt), kNow));
  REQUIRE(stop.CanTake(Request(false, seconds(60)), kNow));
}

// Guards against requests that are passed on and cut without an answer (LOST).
TEST_CASE("a request is taken during the stop only if it probably ends") {
  StopSchedule stop;
  stop.Begin(kEnd);
  for (const bool is_idempotent : {false, true}) {
    REQUIRE(stop.CanTake(Request(is_idempotent, seconds(3)), kNow));
    REQUIRE(stop.CanTake(Request(is_idempotent, seconds(4)), kNow));
    REQUIRE_FALSE(stop.CanTake(Request(is_idempotent, seconds(5)), kNow));
    REQUIRE_FALSE(stop.CanTake(Request(is_idempotent, milliseconds(10)), kEnd));
    // Its deadline comes first in any case.
    REQUIRE(stop.CanTake(
        Request(is_idempotent, std::nullopt, milliseconds(5900)), kNow));
  }
  REQUIRE(stop.CanTake(Request(true, std::nullopt), kNow));
  REQUIRE_FALSE(stop.CanTake(Request(false, std::nullopt), kNow));
}

TEST_CASE("the time of a request is that of the slowest upstream and a wait") {
  RoutingTable table;
  const ServiceName service("s");
  REQUIRE_FALSE(EstimateRequestTime(table, service, kNow).has_value());
  for (const char* name : {"a", "b", "other"}) {
    UpstreamView upstream;
    upstream.listed.serves = name == std::string("other") ? "t" : "s";
    upstream.counters = std::make_shared<UpstreamCounters>();
    upstream.load.slots = 1;
    table.upstreams.push_back(upstream);
  }
  REQUIRE_FALSE(EstimateRequestTime(table, service, kNow).has_value());
  table.upstreams[0].counters->service_time_us = 300'000;
  table.upstreams[1].counters->service_time_us = 500'000;
  table.upstreams[2].counters->service_time_us = 900'000;
  REQUIRE(EstimateRequestTime(table, service, kNow) == milliseconds(500));
}

}  // namespace
}  // namespace briarspread::forward
