// briarspread-trace: prints the lines related to an id from the collected logs
// of instances.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "briarspread/observe/log_trace.h"

DEFINE_bool(json, false, "print each line as JSON");

namespace briarspread {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUnknownId = 1;
constexpr int kExitUsage = 2;

bool ReadFile(const std::string& path, CollectedLogs& logs) {
  if (path == "-") {
    ReadLogLines(std::cin, logs);
    return true;
  }
  std::ifstream in(path);
  if (!in) {
    std::cerr << "briarspread-trace: " << path << ": cannot be read\n";
    return false;
  }
  ReadLogLines(in, logs);
  return true;
}

void Print(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    std::cout << (FLAGS_json ? line.fields.dump()
                             : FormatReadable(line, lines.front().time_ms))
              << "\n";
  }
}

int Run(int argc, char** argv) {
  constexpr int kFirstFile = 2;
  if (argc <= kFirstFile) {
    std::cerr << "briarspread-trace: found " << argc - 1
              << " arguments, allowed is ID FILE...\n";
    return kExitUsage;
  }
  const std::string id = argv[1];
  CollectedLogs logs;
  for (int i = kFirstFile; i < argc; ++i) {
    if (!ReadFile(argv[i], logs)) return kExitUsage;
  }
  const auto lines = FindRelatedLines(logs, id);
  if (lines.empty()) {
    std::cerr << "briarspread-trace: " << id << " is in none of "
              << logs.lines.size() << " lines (" << logs.skipped
              << " others skipped)\n";
    return kExitUnknownId;
  }
  Print(lines);
  return kExitOk;
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(
      "prints the lines related to an id from the logs of instances\n"
      "  briarspread-trace ID FILE...        ID: a request, item, job, group "
      "or upstream; FILE may be - for standard input\n"
      "  briarspread-trace --json ID FILE...  the lines as JSON\n"
      "exit codes: 0 found, 1 the id is in no line, 2 bad usage");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::Run(argc, argv);
}
