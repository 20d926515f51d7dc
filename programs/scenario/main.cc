// briarspread-scenario: runs a scenario against running processes, then checks
// the guarantees of the service against the records of callers and upstreams.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "briarspread/history/history_checker.h"
#include "briarspread/transport/http_upstream_client.h"
#include "programs/scenario/scenario_runner.h"

DEFINE_string(script, "", "the scenario, a Lua file");
DEFINE_string(processes, "", "file of the processes: name pid port");
DEFINE_string(commands, "", "file to which restarts are appended");
DEFINE_string(histories, "",
              "folder of the histories that the stand-ins write");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_uint32(show, 5, "maximum number of violations shown for each invariant");

namespace briarspread {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitViolations = 1;
constexpr int kExitFailed = 2;

Status ReadHistories(const std::string& folder, History& history) {
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    std::ifstream in(file.path());
    std::ostringstream buf;
    buf << in.rdbuf();
    Status added = AddLines(buf.str(), history);
    if (!IsOk(added)) return added;
  }
  return OkStatus();
}

void Print(const std::vector<InvariantReport>& reports,
           const History& history) {
  std::uint64_t answered = 0;
  for (const CallRecord& call : history.calls) {
    if (call.verdict == Verdict::kAnswered) ++answered;
  }
  std::cout << "scenario " << FLAGS_script << " seed " << FLAGS_seed
            << ": calls " << history.calls.size() << ", answered " << answered
            << "\n";
  for (const InvariantReport& report : reports) {
    std::cout << "  " << report.name << ": checked " << report.checked
              << ", violations " << report.violations.size() << "\n";
    for (std::size_t i = 0; i < report.violations.size() && i < FLAGS_show;
         ++i) {
      std::cout << "    " << report.violations[i] << "\n";
    }
  }
}

int Fail(const Error& error) {
  std::cerr << "briarspread-scenario: " << error.message << "\n";
  return kExitFailed;
}

int Run() {
  SystemClock clock;
  SeededRandom random(FLAGS_seed);
  HttpUpstreamClient client;
  ProcessTable processes(FLAGS_processes, FLAGS_commands);
  const Status loaded = processes.Reload();
  if (!IsOk(loaded)) return Fail(ErrorOf(loaded));
  std::vector<Endpoint> entries;
  for (const ScenarioProcess& process : processes.FindByPrefix("entry-")) {
    entries.push_back(process.endpoint);
  }
  if (entries.empty()) {
    return Fail(Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                      "no process named entry-... in " + FLAGS_processes});
  }
  LiveCallers callers(entries, client, clock, random);
  ScenarioRunner runner(processes, callers, client, random, clock);
  const Status ran = runner.Run(FLAGS_script);
  if (!IsOk(ran)) return Fail(ErrorOf(ran));

  History history;
  const Status read = ReadHistories(FLAGS_histories, history);
  if (!IsOk(read)) return Fail(ErrorOf(read));
  history.calls = callers.records();
  history.leaves = runner.leaves();
  const auto reports = CheckHistory(history, {});
  Print(reports, history);
  for (const auto& [reason, n] : callers.reasons()) {
    std::cout << "  unanswered " << n << ": " << reason << "\n";
  }
  return HasViolations(reports) ? kExitViolations : kExitOk;
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(
      "runs a scenario and checks the history\n"
      "exit codes: 0 no violations, 1 a guarantee violated, 2 not run");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::Run();
}
