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

/// Runs one scenario: a Lua script that names callers and faults. The words of
/// the language stand in docs/SCENARIOS.md. Not thread-safe.
class ScenarioRunner {
 public:
  /// Precondition: all arguments outlive this object.
  ScenarioRunner(ProcessTable& processes, LiveCallers& callers,
                 UpstreamClient& client, RandomSource& random,
                 const Clock& clock);
  ~ScenarioRunner();
  ScenarioRunner(const ScenarioRunner&) = delete;
  ScenarioRunner& operator=(const ScenarioRunner&) = delete;

  /// Runs the script to its end, waits for all callers, and thaws what it
  /// froze. The error names the script's line.
  Status Run(const std::string& path);

  /// Upstreams that the script made leave.
  const std::vector<LeaveRecord>& leaves() const { return leaves_; }

 private:
  static ScenarioRunner& Self(lua_State* lua);
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

  /// Registers a word of the language.
  void AddWord(const char* name, int (*function)(lua_State*));
  /// Raises a Lua error where `status` is one.
  static int Check(lua_State* lua, const Status& status);
  Status Signal(const std::string& name, int signal_number);
  Status Post(const std::string& name, const std::string& method,
              const std::string& path, const std::string& body);

  ProcessTable& processes_;
  LiveCallers& callers_;
  UpstreamClient& client_;
  RandomSource& random_;
  const Clock& clock_;
  /// The interpreter.
  lua_State* lua_;
  /// Processes that are frozen now.
  std::vector<std::string> frozen_;
  std::vector<LeaveRecord> leaves_;
};

}  // namespace briarspread

#endif  // PROGRAMS_SCENARIO_SCENARIO_RUNNER_H_
