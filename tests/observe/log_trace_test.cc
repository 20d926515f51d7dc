#include "briarspread/observe/log_trace.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <optional>
#include <sstream>

#include "briarspread/observe/json_log_sink.h"
#include "briarspread/observe/prometheus_writer.h"
#include "tests/support/manual_clock.h"

namespace briarspread {
namespace {

/// Log lines of several instances, in no particular order. One of them has a
/// log collector's prefix, and one line is not a log line of an instance.
std::string ExampleLogs() {
  const auto at = [](int ms, const std::string& instance,
                     const std::string& message) {
    return FormatLogLine(WallTime(milliseconds(ms)), "INFO", instance, message);
  };
  return at(300, "edge-2",
            "event=run_ended job=j1 item=a upstream=u1 outcome=broken") +
         at(100, "edge-1", "event=job_accepted job=j1 items=2") +
         at(150, "edge-1", "event=job_accepted job=j2 items=1") +
         "12.3 edge-1 " + at(250, "edge-1", "event=upstream_died upstream=u1") +
         at(260, "edge-3", "event=upstream_died upstream=u9") +
         at(310, "edge-2", "event=job_adopted job=j1 listed=0") +
         at(320, "edge-2", "event=store_lost") +
         at(330, "edge-7", "event=store_lost") +
         at(350, "edge-2",
            "event=run_ended job=j1 item=b upstream=u2 outcome=complete") +
         "no line of ours\n" +
         at(400, "edge-2",
            "event=item_given_up job=j1 item=a reason=failed failures=2") +
         at(500, "edge-2", "event=answered request=r1 status=200 ms=31");
}

std::vector<std::string> EventsOf(const std::string& id) {
  std::istringstream in(ExampleLogs());
  CollectedLogs logs;
  ReadLogLines(in, logs);
  REQUIRE(logs.skipped == 1);
  std::vector<std::string> events;
  for (const LogLine& line : FindRelatedLines(logs, id)) {
    events.push_back(line.instance + " " + line.event);
  }
  return events;
}

TEST_CASE("an item's trace has its job, upstream deaths and store state") {
  REQUIRE(EventsOf("a") == std::vector<std::string>{
                               "edge-1 job_accepted", "edge-1 upstream_died",
                               "edge-2 run_ended", "edge-2 job_adopted",
                               "edge-2 store_lost", "edge-2 item_given_up"});
}

TEST_CASE("a job's trace has its items, a request's its instance's state") {
  REQUIRE(EventsOf("j1").size() == 7);
  REQUIRE(EventsOf("r1") ==
          std::vector<std::string>{"edge-2 store_lost", "edge-2 answered"});
  REQUIRE(EventsOf("none").empty());
}

/// Follows an id through a log file recorded from instances in a simulated day;
/// the file holds a part of that day's lines.
std::vector<LogLine> RelatedLinesInFile(const std::string& file,
                                        const std::string& id) {
  std::ifstream in(std::string(BRIARSPREAD_TEST_DATA) + "/" + file);
  REQUIRE(in);
  CollectedLogs logs;
  ReadLogLines(in, logs);
  REQUIRE(logs.skipped == 0);
  return FindRelatedLines(logs, id);
}

TEST_CASE("in recorded logs an id's trace shows the cause of its failure") {
  const auto lookup =
      RelatedLinesInFile("played_day_2.log", "c5ab1e5f28c0e85f");
  REQUIRE(lookup.size() == 2);
  REQUIRE(lookup[0].event == "started");
  REQUIRE(lookup[1].fields["reason"] == "no_configuration");

  const auto item = RelatedLinesInFile("played_day_1.log", "e743018e5d77e937");
  REQUIRE(item.front().event == "job_accepted");
  const auto given_up = std::find_if(
      item.begin(), item.end(),
      [](const LogLine& line) { return line.event == "item_given_up"; });
  REQUIRE(given_up != item.end());
  REQUIRE(given_up->fields["reason"] == "reward_failed");

  std::vector<std::string> events;
  for (const LogLine& line : RelatedLinesInFile("played_day_1.log", "g89")) {
    if (line.event != "results_listed") events.push_back(line.event);
  }
  REQUIRE(events == std::vector<std::string>{"job_accepted", "started",
                                             "takeover", "job_adopted",
                                             "group_listed", "job_ended"});
}

TEST_CASE("a formatted line has its relative time and its fields") {
  std::istringstream in(ExampleLogs());
  CollectedLogs logs;
  ReadLogLines(in, logs);
  const auto related = FindRelatedLines(logs, "r1");
  REQUIRE(FormatReadable(related.back(), 480) ==
          "+20 ms  edge-2  answered  level=INFO  request=r1  status=200  "
          "ms=31");
}

/// A sink that writes to a pipe that nobody reads.
struct SinkIntoPipe {
  explicit SinkIntoPipe(const JsonLogSettings& settings) {
    REQUIRE(pipe(ends.data()) == 0);
    sink.emplace(ends[1], "i", settings, clock);
  }
  ~SinkIntoPipe() {
    sink.reset();
    close(ends[0]);
    close(ends[1]);
  }
  void Send(google::LogSeverity severity, int n) {
    const std::string text = "event=x";
    for (int i = 0; i < n; ++i) {
      sink->send(severity, "", "", 0, nullptr, text.data(), text.size());
    }
  }
  std::array<int, 2> ends{};
  testing::ManualClock clock;
  std::optional<JsonLogSink> sink;
};

TEST_CASE("log lines above the limit are dropped, warnings and errors last") {
  JsonLogSettings settings;
  settings.burst = 10;
  settings.reserved_for_failures = 4;
  SinkIntoPipe pipe(settings);
  pipe.Send(google::GLOG_INFO, 10);
  REQUIRE(pipe.sink->dropped() == 4);
  pipe.Send(google::GLOG_WARNING, 4);
  REQUIRE(pipe.sink->dropped() == 4);
  pipe.Send(google::GLOG_WARNING, 1);
  REQUIRE(pipe.sink->dropped() == 5);
}

TEST_CASE("a full output pipe drops lines and never blocks the writer") {
  JsonLogSettings settings;
  settings.burst = 1e6;
  settings.max_buffered_bytes = 4096;
  SinkIntoPipe pipe(settings);
  pipe.Send(google::GLOG_ERROR, 20000);
  REQUIRE(pipe.sink->dropped() > 0);
}

TEST_CASE("labels are escaped, and a sample without labels has no braces") {
  PrometheusWriter out;
  out.Gauge("g", 2);
  out.Sample("s", PrometheusWriter::Label("l", "a\"b\\c\nd"), 1);
  REQUIRE(out.Text() == "# TYPE g gauge\ng 2\ns{l=\"a\\\"b\\\\c d\"} 1\n");
}

}  // namespace
}  // namespace briarspread
