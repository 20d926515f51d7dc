#include "briarspread/history/history_checker.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

CallRecord AnsweredCall(const std::string& key) {
  CallRecord call;
  call.key = RequestKey(key);
  call.answered_key = call.key;
  call.verdict = Verdict::kAnswered;
  call.whole = true;
  return call;
}

RunRecord Run(const std::string& key, HistoryTime started = 0) {
  return {UpstreamId("desk-1"), RequestKey(key), started};
}

DeliveryRecord Delivery(std::uint32_t group) {
  DeliveryRecord record;
  record.group = GroupId(group);
  record.prompt = "p" + std::to_string(group);
  record.version = WeightVersion(3);
  record.end = 4;
  record.newest = WeightVersion(3);
  record.staleness_bound = 1;
  return record;
}

GenerationRecord Generation(std::uint32_t group) {
  return {UpstreamId("rollout-1"), "p" + std::to_string(group),
          WeightVersion(3), 0, 4};
}

History GoodHistory() {
  History history;
  history.calls = {AnsweredCall("a"), AnsweredCall("b")};
  history.runs = {Run("a"), Run("b")};
  history.deliveries = {Delivery(1), Delivery(2)};
  history.generations = {Generation(1), Generation(2)};
  return history;
}

/// The names of the promises that the checker finds broken.
std::vector<std::string> Broken(const History& history) {
  std::vector<std::string> names;
  for (const auto& report : CheckHistory(history, {})) {
    if (!report.violations.empty()) names.push_back(report.name);
  }
  return names;
}

TEST_CASE("a history that keeps every promise has no violations") {
  REQUIRE(Broken(GoodHistory()).empty());
}

TEST_CASE("each broken promise is found, and only that one") {
  History history = GoodHistory();
  SECTION("a second run") {
    history.runs.push_back(Run("a"));
    REQUIRE(Broken(history) ==
            std::vector<std::string>{"a non-idempotent request runs at most "
                                     "once"});
  }
  SECTION("a refusal of a request that ran") {
    history.calls[0].verdict = Verdict::kNotRun;
    REQUIRE(Broken(history) ==
            std::vector<std::string>{"a request answered not-run was not run"});
  }
  SECTION("another caller's answer") {
    history.calls[0].answered_key = RequestKey("b");
    REQUIRE(Broken(history).size() == 1);
  }
  SECTION("an answer that is not whole") {
    history.calls[0].whole = false;
    REQUIRE(Broken(history).size() == 1);
  }
  SECTION("an answer to a request that never ran") {
    history.runs.erase(history.runs.begin());
    REQUIRE(Broken(history).size() == 1);
  }
  SECTION("work after leaving") {
    history.leaves.push_back({UpstreamId("desk-1"), 1000});
    history.calls.push_back(AnsweredCall("c"));
    history.runs.push_back(Run("c", 4001));
    REQUIRE(Broken(history) ==
            std::vector<std::string>{"a leaving upstream gets no new work"});
  }
  SECTION("a doubled sample") {
    history.deliveries.push_back(Delivery(1));
    history.deliveries.back().delivery = 1;
    REQUIRE(Broken(history) ==
            std::vector<std::string>{"each sample is delivered exactly once"});
  }
  SECTION("a stale sample") {
    history.deliveries[0].newest = WeightVersion(5);
    REQUIRE(Broken(history) ==
            std::vector<std::string>{"no sample is older than its staleness "
                                     "bound"});
  }
  SECTION("a false label") {
    history.generations[0].version = WeightVersion(2);
    REQUIRE(Broken(history) == std::vector<std::string>{
                                   "a sample names the versions that produced "
                                   "it"});
  }
  SECTION("a label over tokens that were not generated") {
    history.generations[0].end = 3;
    REQUIRE(Broken(history).size() == 1);
  }
}

TEST_CASE("records survive their lines, and a torn last line is passed over") {
  const History history = GoodHistory();
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
  REQUIRE(Broken(read).empty());
}

TEST_CASE("any bytes are read or refused") {
  rc::prop("no crash", [](const std::string& bytes) {
    History history;
    AddLines(bytes + "\n", history);
  });
  History history;
  REQUIRE_FALSE(IsOk(AddLines("{\"record\":\"run\"}\n", history)));
}

}  // namespace
}  // namespace briarspread
