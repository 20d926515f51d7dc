#ifndef PROGRAMS_SCENARIO_PROCESS_TABLE_H_
#define PROGRAMS_SCENARIO_PROCESS_TABLE_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// A process of the scenario, as recorded by the script that started it.
struct ScenarioProcess {
  /// The name of the process, such as `entry-1` or `desk-2`.
  std::string name;
  pid_t pid = 0;
  Endpoint endpoint;
};

/// The processes of a scenario, read from a file. The script that starts the
/// processes appends a line `name pid port` for each start; the last line of a
/// name is the valid one. Signals are sent only to processes in this file. Not
/// thread-safe.
class ProcessTable {
 public:
  /// `path` is the file of processes. `commands` is the file from which the
  /// starting script reads lines `restart NAME`.
  ProcessTable(std::string path, std::string commands);

  /// Reads the file of processes again.
  Status Reload();
  /// Returns the process, or an error that lists the known names.
  Result<ScenarioProcess> Find(const std::string& name) const;
  /// Returns all processes whose names start with `prefix`.
  std::vector<ScenarioProcess> FindByPrefix(const std::string& prefix) const;

  /// Sends a signal to a process.
  Status Signal(const std::string& name, int signal_number) const;
  /// Requests a restart from the starting script and blocks until the process
  /// has a new pid. Fails after ten seconds.
  Status Restart(const std::string& name);

 private:
  const std::string path_;
  const std::string commands_;
  /// Processes by name.
  std::map<std::string, ScenarioProcess> processes_;
};

}  // namespace briarspread

#endif  // PROGRAMS_SCENARIO_PROCESS_TABLE_H_
