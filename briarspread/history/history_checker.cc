#include "briarspread/history/history_checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace briarspread {
namespace {

using RunsByKey = std::unordered_map<RequestKey, std::vector<const RunRecord*>>;
using GroupKey = std::tuple<TrainerId, StepNumber, GroupId>;
using SampleKey = std::tuple<TrainerId, StepNumber, GroupId, SampleIndex>;

RunsByKey IndexRuns(const History& history) {
  RunsByKey runs;
  for (const RunRecord& run : history.runs) runs[run.key].push_back(&run);
  return runs;
}

std::size_t CountRuns(const RunsByKey& runs, const RequestKey& key) {
  const auto it = runs.find(key);
  return it == runs.end() ? 0 : it->second.size();
}

InvariantReport CheckAtMostOnce(const History& history, const RunsByKey& runs) {
  InvariantReport report{"a non-idempotent request runs at most once", 0, {}};
  for (const CallRecord& call : history.calls) {
    if (call.idempotent) continue;
    ++report.checked;
    const std::size_t n = CountRuns(runs, call.key);
    if (n <= 1) continue;
    report.violations.push_back(call.key.value() + " ran " + std::to_string(n) +
                                " times");
  }
  return report;
}

InvariantReport CheckNotRun(const History& history, const RunsByKey& runs) {
  InvariantReport report{"a request answered not-run was not run", 0, {}};
  for (const CallRecord& call : history.calls) {
    if (call.verdict != Verdict::kNotRun) continue;
    ++report.checked;
    if (CountRuns(runs, call.key) == 0) continue;
    report.violations.push_back(call.key.value() + " was run");
  }
  return report;
}

InvariantReport CheckAnswers(const History& history, const RunsByKey& runs) {
  InvariantReport report{
      "an answer is whole, its caller's own, and was run", 0, {}};
  for (const CallRecord& call : history.calls) {
    if (call.verdict != Verdict::kAnswered) continue;
    ++report.checked;
    const std::string& key = call.key.value();
    if (!call.is_complete) report.violations.push_back(key + " is not whole");
    if (call.answered_key != call.key) {
      report.violations.push_back(key + " got the answer of " +
                                  call.answered_key.value());
    }
    if (CountRuns(runs, call.key) == 0) {
      report.violations.push_back(key + " was never run");
    }
  }
  return report;
}

InvariantReport CheckLeaving(const History& history, milliseconds grace) {
  InvariantReport report{"a leaving upstream gets no new work", 0, {}};
  std::unordered_map<UpstreamId, HistoryTime> leave_times;
  for (const LeaveRecord& leave : history.leaves) {
    leave_times[leave.upstream] = leave.at;
  }
  for (const RunRecord& run : history.runs) {
    ++report.checked;
    const auto it = leave_times.find(run.upstream);
    if (it == leave_times.end() || run.started <= it->second + grace.count()) {
      continue;
    }
    report.violations.push_back(
        run.upstream.value() + " got " + run.key.value() + " " +
        std::to_string(run.started - it->second) + " ms after leaving");
  }
  return report;
}

InvariantReport CheckExactlyOnce(const History& history) {
  InvariantReport report{"each sample is delivered exactly once", 0, {}};
  std::map<SampleKey, std::set<std::uint32_t>> deliveries;
  for (const DeliveryRecord& record : history.deliveries) {
    deliveries[{record.trainer, record.step, record.group, record.sample}]
        .insert(record.delivery);
  }
  for (const auto& [key, seen] : deliveries) {
    ++report.checked;
    if (seen.size() == 1) continue;
    report.violations.push_back(
        "step " + std::to_string(std::get<StepNumber>(key).value()) +
        " group " + std::to_string(std::get<GroupId>(key).value()) +
        " was delivered " + std::to_string(seen.size()) + " times");
  }
  return report;
}

InvariantReport CheckStaleness(const History& history) {
  InvariantReport report{"no sample is older than its staleness bound", 0, {}};
  for (const DeliveryRecord& record : history.deliveries) {
    ++report.checked;
    const std::uint64_t oldest = record.version.value();
    if (oldest + record.staleness_bound >= record.newest.value()) continue;
    report.violations.push_back(record.prompt + " has version " +
                                std::to_string(oldest) + " at " +
                                std::to_string(record.newest.value()));
  }
  return report;
}

/// Marks the tokens of `delivery` that `generation` produced with the version
/// that the delivery names. `covered` has one flag for each delivered token.
void MarkCovered(const DeliveryRecord& delivery,
                 const GenerationRecord& generation,
                 std::vector<bool>& covered) {
  if (generation.version != delivery.version) return;
  const std::uint32_t begin = std::max(delivery.begin, generation.begin);
  const std::uint32_t end = std::min(delivery.end, generation.end);
  for (std::uint32_t i = begin; i < end; ++i) {
    covered[i - delivery.begin] = true;
  }
}

InvariantReport CheckLabels(const History& history) {
  InvariantReport report{"a sample names the versions that produced it", 0, {}};
  std::unordered_map<std::string, std::vector<const GenerationRecord*>>
      by_prompt;
  for (const GenerationRecord& record : history.generations) {
    by_prompt[record.prompt].push_back(&record);
  }
  for (const DeliveryRecord& delivery : history.deliveries) {
    ++report.checked;
    if (delivery.end <= delivery.begin) {
      report.violations.push_back(delivery.prompt + " has an empty label");
      continue;
    }
    std::vector<bool> covered(delivery.end - delivery.begin, false);
    for (const GenerationRecord* record : by_prompt[delivery.prompt]) {
      MarkCovered(delivery, *record, covered);
    }
    if (std::all_of(covered.begin(), covered.end(), [](bool b) { return b; })) {
      continue;
    }
    report.violations.push_back(delivery.prompt + " claims version " +
                                std::to_string(delivery.version.value()) +
                                " for tokens that no engine generated with it");
  }
  return report;
}

}  // namespace

std::vector<InvariantReport> CheckHistory(
    const History& history, const HistoryCheckerSettings& settings) {
  const RunsByKey runs = IndexRuns(history);
  return {CheckAtMostOnce(history, runs),
          CheckNotRun(history, runs),
          CheckAnswers(history, runs),
          CheckLeaving(history, settings.leaving_grace),
          CheckExactlyOnce(history),
          CheckStaleness(history),
          CheckLabels(history)};
}

bool HasViolations(const std::vector<InvariantReport>& reports) {
  return std::any_of(
      reports.begin(), reports.end(),
      [](const InvariantReport& report) { return !report.violations.empty(); });
}

}  // namespace briarspread
