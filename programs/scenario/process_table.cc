#include "programs/scenario/process_table.h"

#include <signal.h>

#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace briarspread {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr milliseconds kRestartPollInterval{50};
constexpr int kMaxRestartPolls = 200;

Error MakeError(const std::string& message) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun, message};
}

}  // namespace

ProcessTable::ProcessTable(std::string path, std::string commands)
    : path_(std::move(path)), commands_(std::move(commands)) {}

Status ProcessTable::Reload() {
  std::ifstream in(path_);
  if (!in) return MakeError(path_ + ": cannot be read");
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    ScenarioProcess process;
    process.endpoint.host = kLoopback;
    if (fields >> process.name >> process.pid >> process.endpoint.port) {
      processes_[process.name] = process;
    }
  }
  return OkStatus();
}

Result<ScenarioProcess> ProcessTable::Find(const std::string& name) const {
  const auto it = processes_.find(name);
  if (it != processes_.end()) return it->second;
  std::string names;
  for (const auto& [known, process] : processes_) names += " " + known;
  return MakeError("no process '" + name + "'; known processes:" + names);
}

std::vector<ScenarioProcess> ProcessTable::FindByPrefix(
    const std::string& prefix) const {
  std::vector<ScenarioProcess> found;
  for (const auto& [name, process] : processes_) {
    if (name.starts_with(prefix)) found.push_back(process);
  }
  return found;
}

Status ProcessTable::Signal(const std::string& name, int signal_number) const {
  const auto process = Find(name);
  if (!IsOk(process)) return ErrorOf(process);
  if (kill(ValueOf(process).pid, signal_number) == 0) return OkStatus();
  return MakeError("signal " + std::to_string(signal_number) + " to " + name +
                   " failed");
}

Status ProcessTable::Restart(const std::string& name) {
  const auto old = Find(name);
  if (!IsOk(old)) return ErrorOf(old);
  std::ofstream(commands_, std::ios::app) << "restart " << name << "\n";
  for (int i = 0; i < kMaxRestartPolls; ++i) {
    std::this_thread::sleep_for(kRestartPollInterval);
    const Status reloaded = Reload();
    if (!IsOk(reloaded)) return ErrorOf(reloaded);
    if (processes_[name].pid != ValueOf(old).pid) return OkStatus();
  }
  return MakeError(name + " was not restarted");
}

}  // namespace briarspread
