#include "briarspread/history/history_checker.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

CallRecord MakeAnsweredCall(const std::string& key) {
  CallRecord call;
  call.key = RequestKey(key);
  call.answered_key = call.key;
  call.verdict = Verdict::kAnswered;
  call.is_complete = true;
  return call;
}

RunRecord MakeRun(const std::string& key, HistoryTime started = 0) {
  return {UpstreamId("desk-1"), RequestKey(key), started};
}

DeliveryRecord MakeDelivery(std::uint32_t group) {
  DeliveryRecord record;
  record.group = GroupId(group);
  record.prompt = "p" + std::to_string(group);
  record.version = WeightVersion(3);
  record.end = 4;
  record.newest = WeightVersion(3);
  record.staleness_bound = 1;
  return record;
}

GenerationRecord MakeGeneration(std::uint32_t group) {
  return {UpstreamId("rollout-1"), "p" + std::to_string(group),
          WeightVersion(3), 0, 4};
}

History ValidHistory() {
  History history;
  history.calls = {MakeAnsweredCall("a"), MakeAnsweredCall("b")};
  history.runs = {MakeRun("a"), MakeRun("b")};
  history.deliveries = {MakeDelivery(1), MakeDelivery(2)};
  history.generations = {MakeGeneration(1), MakeGeneration(2)};
  return history;
}

/// Returns the names of the invariants for which the checker finds violations.
std::vector<std::string> FindBrokenInvariants(const History& history) {
  std::vector<std::string> names;
  for (const auto& report : CheckHistory(history, {})) {
    if (!report.violations.empty()) names.push_back(report.name);
  }
  return names;
}

TEST_CASE("a valid history has no violations") {
  REQUIRE(FindBrokenInvariants(ValidHistory()).empty());
}

TEST_CASE("each violation is reported for its invariant only") {
  History history = ValidHistory();
  SECTION("a second run of a non-idempotent request") {
    history.runs.push_back(MakeRun("a"));
    REQUIRE(FindBrokenInvariants(history) ==
            std::vector<std::string>{"a non-idempotent request runs at most "
                                     "once"});
  }
  SECTION("a request reported as not run that ran") {
    history.calls[0].verdict = Verdict::kNotRun;
    REQUIRE(FindBrokenInvariants(history) ==
            std::vector<std::string>{"a request answered not-run was not run"});
  }
  SECTION("a response to another request") {
    history.calls[0].answered_key = RequestKey("b");
    REQUIRE(FindBrokenInvariants(history).size() == 1);
  }
  SECTION("an incomplete response") {
    history.calls[0].is_complete = false;
    REQUIRE(FindBrokenInvariants(history).size() == 1);
  }
  SECTION("a response to a request that never ran") {
    history.runs.erase(history.runs.begin());
    REQUIRE(FindBrokenInvariants(history).size() == 1);
  }
  SECTION("a run after the upstream left") {
    history.leaves.push_back({UpstreamId("desk-1"), 1000});
    history.calls.push_back(MakeAnsweredCall("c"));
    history.runs.push_back(MakeRun("c", 4001));
    REQUIRE(FindBrokenInvariants(history) ==
            std::vector<std::string>{"a leaving upstream gets no new work"});
  }
  SECTION("a sample delivered twice") {
    history.deliveries.push_back(MakeDelivery(1));
    history.deliveries.back().delivery = 1;
    REQUIRE(FindBrokenInvariants(history) ==
            std::vector<std::string>{"each sample is delivered exactly once"});
  }
  SECTION("a stale sample") {
    history.deliveries[0].newest = WeightVersion(5);
    REQUIRE(FindBrokenInvariants(history) ==
            std::vector<std::string>{"no sample is older than its staleness "
                                     "bound"});
  }
  SECTION("a label with a wrong version") {
    history.generations[0].version = WeightVersion(2);
    REQUIRE(
        FindBrokenInvariants(history) ==
        std::vector<std::string>{"a sample names the versions that produced "
                                 "it"});
  }
  SECTION("a label that covers tokens which were not generated") {
    history.generations[0].end = 3;
    REQUIRE(FindBrokenInvariants(history).size() == 1);
  }
}

TEST_CASE("records are restored from lines and a torn last line is ignored") {
  const History history = ValidHistory();
  std::string text;
  for (const auto& record : history.calls) text += ToLine(record) + "\n";
  for (const auto& record : history.runs) text += ToLine(record) + "\n";
  for (const auto& record : history.generations) text += ToLine(record) + "\n";
  for (const auto& record : history.deliveries) text += ToLine(record) + "\n";
  text += ToLine(LeaveRecord{UpstreamId("x"), 5}) + "\n";
  text += ToLine(history.runs[0]).substr(0, 10);
  History read;
  REQUIRE(IsOk(AddLines(text, read)));
  REQUIRE(read.calls.size() == 2);
  REQUIRE(read.runs.size() == 2);
  REQUIRE(read.leaves.size() == 1);
  REQUIRE(read.generations.size() == 2);
  REQUIRE(read.deliveries.size() == 2);
  REQUIRE(FindBrokenInvariants(read).empty());
}

TEST_CASE("malformed lines are rejected and no input crashes the parser") {
  rc::prop("no crash", [](const std::string& bytes) {
    History history;
    AddLines(bytes + "\n", history);
  });
  History history;
  REQUIRE_FALSE(IsOk(AddLines("{\"record\":\"run\"}\n", history)));
}

}  // namespace
}  // namespace briarspread
