#ifndef PROGRAMS_SCENARIO_PROCESS_TABLE_H_
#define PROGRAMS_SCENARIO_PROCESS_TABLE_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// One process of the run, as the starting script recorded it.
struct ScenarioProcess {
  /// Such as `entry-1` or `desk-2`.
  std::string name;
  pid_t pid = 0;
  Endpoint endpoint;
};

/// The processes that a scenario acts on. The starting script keeps the file:
/// one line `name pid port` a start, the last line of a name being in force.
/// Only processes of this file are ever sent a signal. Not thread-safe.
class ProcessTable {
 public:
  /// `commands` is the file that the starting script reads `restart NAME` from.
  ProcessTable(std::string path, std::string commands);

  /// Reads the file again.
  Status Reload();
  /// The process, or an error that names those there are.
  Result<ScenarioProcess> Find(const std::string& name) const;
  /// All processes whose names start with `prefix`.
  std::vector<ScenarioProcess> WithPrefix(const std::string& prefix) const;

  /// Sends a signal to a process.
  Status Signal(const std::string& name, int signal_number) const;
  /// Asks the starting script to start the process again, and waits until it
  /// has; fails after ten seconds.
  Status Restart(const std::string& name);

 private:
  /// The file of processes.
  const std::string path_;
  /// The file of commands.
  const std::string commands_;
  /// By name.
  std::map<std::string, ScenarioProcess> processes_;
};

}  // namespace briarspread

#endif  // PROGRAMS_SCENARIO_PROCESS_TABLE_H_
