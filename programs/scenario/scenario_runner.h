#ifndef PROGRAMS_SCENARIO_SCENARIO_RUNNER_H_
#define PROGRAMS_SCENARIO_SCENARIO_RUNNER_H_

#include <string>
#include <vector>

#include "briarspread/core/upstream_client.h"
#include "briarspread/history/history.h"
#include "programs/scenario/live_callers.h"
#include "programs/scenario/process_table.h"

struct lua_State;

namespace briarspread {

/// Runs a scenario: a Lua script that starts callers and injects faults.
/// docs/SCENARIOS.md describes the functions that scripts can call. Not
/// thread-safe.
class ScenarioRunner {
 public:
  /// Precondition: all arguments outlive this object.
  ScenarioRunner(ProcessTable& processes, LiveCallers& callers,
                 UpstreamClient& client, RandomSource& random,
                 const Clock& clock);
  ~ScenarioRunner();
  ScenarioRunner(const ScenarioRunner&) = delete;
  ScenarioRunner& operator=(const ScenarioRunner&) = delete;

  /// Runs a script, then resumes the processes that are still frozen and waits
  /// for all callers. Returns the script's error, which names the line.
  Status Run(const std::string& path);

  /// The upstreams that the script marked as leaving.
  const std::vector<LeaveRecord>& leaves() const { return leaves_; }

 private:
  /// Returns the runner that owns the interpreter.
  static ScenarioRunner& Self(lua_State* lua);
  // Functions that scripts can call.
  static int Calls(lua_State* lua);
  static int Wait(lua_State* lua);
  static int Sleep(lua_State* lua);
  static int Kill(lua_State* lua);
  static int Stop(lua_State* lua);
  static int Freeze(lua_State* lua);
  static int Thaw(lua_State* lua);
  static int Restart(lua_State* lua);
  static int Fault(lua_State* lua);
  static int Leave(lua_State* lua);
  static int Random(lua_State* lua);

  /// Makes a function callable from scripts under a name.
  void RegisterFunction(const char* name, int (*function)(lua_State*));
  /// Raises a Lua error if `status` is an error.
  static int RaiseIfError(lua_State* lua, const Status& status);
  Status Signal(const std::string& name, int signal_number);
  /// Sends a request to the process called `name`. Fails without a complete
  /// response with a status below 300.
  Status SendRequest(const std::string& name, const std::string& method,
                     const std::string& path, const std::string& body);

  ProcessTable& processes_;
  LiveCallers& callers_;
  UpstreamClient& client_;
  RandomSource& random_;
  const Clock& clock_;
  lua_State* lua_;
  /// Names of the processes that are stopped by SIGSTOP.
  std::vector<std::string> frozen_;
  std::vector<LeaveRecord> leaves_;
};

}  // namespace briarspread

#endif  // PROGRAMS_SCENARIO_SCENARIO_RUNNER_H_
