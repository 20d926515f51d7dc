#include "briarspread/forward/stream_origins.h"

#include <catch2/catch.hpp>

#include "briarspread/forward/durable_stream_origins.h"
#include "briarspread/forward/origin_exchange.h"
#include "tests/support/async_memory_store.h"
#include "tests/support/loop_runner.h"
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

// Guards against the cause of review/3 (LOST) here: what an outage of the store
// had let grow was written as one value, over the store's limit, for good.
TEST_CASE("all origins are written after an outage of the store") {
  using briarspread::testing::AsyncMemoryStore;
  asio::io_context loop;
  SystemClock clock;
  AsyncMemoryStore store;
  LocalStreamOrigins memory(LocalStreamOriginsSettings{}, clock);
  InstanceRecord self;
  DurableStreamOriginsSettings settings;
  settings.min_write_interval = milliseconds(1);
  settings.interval_per_instance = milliseconds(0);
  DurableStreamOrigins origins(
      loop, memory, store, self, clock, [] { return 1; }, settings);
  store.SetFault(AsyncMemoryStore::Fault::kRefuse);
  constexpr int kOrigins = 30'000;
  for (int i = 0; i < kOrigins; ++i) {
    origins.Record(AttemptId("attempt-" + std::to_string(i)),
                   SoftwareVersion("v1"));
  }
  store.SetFault(AsyncMemoryStore::Fault::kNone);
  const auto count_written = [&] {
    std::size_t n = 0;
    for (const auto& [key, item] : store.items()) {
      n += ParseStreamOrigins(item.value)->size();
    }
    return n;
  };
  REQUIRE(briarspread::testing::RunUntil(loop, [&] {
    store.Deliver();
    return count_written() == kOrigins;
  }));
}

}  // namespace
}  // namespace briarspread::forward
