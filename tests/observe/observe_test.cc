#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "briarspread/observe/entry_metrics.h"
#include "briarspread/observe/trace_context.h"

namespace briarspread {
namespace {

TEST_CASE("a percentile deviates from the exact one by at most a bucket") {
  Histogram histogram;
  for (int i = 1; i <= 1000; ++i) histogram.Record(i * 0.001);
  const HistogramSummary summary = histogram.Summarize();
  REQUIRE(summary.count == 1000);
  REQUIRE(summary.p50 == Approx(0.5).epsilon(0.1));
  REQUIRE(summary.p99 == Approx(0.99).epsilon(0.1));
  REQUIRE(summary.mean == Approx(0.5).epsilon(0.05));
}

TEST_CASE("values outside the range are counted in the end buckets") {
  Histogram histogram;
  for (const double value : {0.0, -1.0, 1e-30, 1e30}) histogram.Record(value);
  REQUIRE(histogram.Summarize().count == 4);
}

TEST_CASE("concurrent counting of the same labels loses no count") {
  EntryMetrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&metrics] {
      for (int i = 0; i < 1000; ++i) {
        metrics.CountRequest("class-" + std::to_string(i % 10),
                             Verdict::kAnswered, milliseconds(3));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const std::string text = metrics.ToPrometheus();
  REQUIRE(text.find("briarspread_requests_total{class=\"class-7\","
                    "verdict=\"answered\"} 400") != std::string::npos);
}

TEST_CASE("labels above the limit share one metric") {
  LabelledMetrics<std::atomic<int>> metrics;
  for (int i = 0; i < 5000; ++i) ++metrics.Get("label-" + std::to_string(i));
  int sum = 0;
  for (const auto& [label, metric] : metrics.All()) sum += metric->load();
  REQUIRE(sum == 5000);
  REQUIRE(metrics.All().size() <= 257);
}

TEST_CASE("a trace context round-trips; malformed headers are rejected") {
  SeededRandom random(7);
  const TraceContext context = ChildOf(std::nullopt, random);
  const auto parsed = ParseTraceParent(context.ToHeader());
  REQUIRE(parsed.has_value());
  REQUIRE(parsed->trace_id == context.trace_id);
  REQUIRE(ChildOf(parsed, random).trace_id == context.trace_id);
  REQUIRE(ChildOf(parsed, random).span_id != context.span_id);
  REQUIRE_FALSE(ParseTraceParent("00-short").has_value());
  REQUIRE_FALSE(ParseTraceParent("00-" + std::string(32, '0') + "-" +
                                 std::string(16, '1') + "-01")
                    .has_value());
  rc::prop("any text is parsed or rejected",
           [](const std::string& text) { ParseTraceParent(text); });
}

}  // namespace
}  // namespace briarspread
