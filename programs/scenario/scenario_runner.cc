#include "programs/scenario/scenario_runner.h"

#include <signal.h>

#include <algorithm>
#include <lua.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "briarspread/history/history_writer.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kRequestTimeout{3000};
constexpr double kMillisecondsPerSecond = 1000;

double NumberField(lua_State* lua, const char* name, double fallback) {
  lua_getfield(lua, 1, name);
  const double value = luaL_optnumber(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

std::string TextField(lua_State* lua, const char* name, const char* fallback) {
  lua_getfield(lua, 1, name);
  std::string value = luaL_optstring(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

milliseconds ToMilliseconds(double seconds_count) {
  return milliseconds(
      static_cast<std::int64_t>(seconds_count * kMillisecondsPerSecond));
}

/// Returns the table at `index` of the Lua stack as a JSON object. Values are
/// booleans, integers or strings; other numbers become strings, and nested
/// tables raise a Lua error.
Json TableToJson(lua_State* lua, int index) {
  Json json = Json::object();
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    const std::string name = lua_tostring(lua, -2);
    if (lua_isboolean(lua, -1)) {
      json[name] = lua_toboolean(lua, -1) != 0;
    } else if (lua_isinteger(lua, -1)) {
      json[name] = lua_tointeger(lua, -1);
    } else {
      json[name] = std::string(luaL_checkstring(lua, -1));
    }
    lua_pop(lua, 1);
  }
  return json;
}

}  // namespace

ScenarioRunner::ScenarioRunner(ProcessTable& processes, LiveCallers& callers,
                               UpstreamClient& client, RandomSource& random,
                               const Clock& clock)
    : processes_(processes),
      callers_(callers),
      client_(client),
      random_(random),
      clock_(clock),
      lua_(luaL_newstate()) {
  luaL_requiref(lua_, "_G", luaopen_base, 1);
  luaL_requiref(lua_, LUA_MATHLIBNAME, luaopen_math, 1);
  luaL_requiref(lua_, LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(lua_, LUA_STRLIBNAME, luaopen_string, 1);
  lua_settop(lua_, 0);
  *static_cast<ScenarioRunner**>(lua_getextraspace(lua_)) = this;
  RegisterFunction("calls", &ScenarioRunner::Calls);
  RegisterFunction("wait", &ScenarioRunner::Wait);
  RegisterFunction("sleep", &ScenarioRunner::Sleep);
  RegisterFunction("kill", &ScenarioRunner::Kill);
  RegisterFunction("stop", &ScenarioRunner::Stop);
  RegisterFunction("freeze", &ScenarioRunner::Freeze);
  RegisterFunction("thaw", &ScenarioRunner::Thaw);
  RegisterFunction("restart", &ScenarioRunner::Restart);
  RegisterFunction("fault", &ScenarioRunner::Fault);
  RegisterFunction("leave", &ScenarioRunner::Leave);
  RegisterFunction("random", &ScenarioRunner::Random);
}

ScenarioRunner::~ScenarioRunner() { lua_close(lua_); }

void ScenarioRunner::RegisterFunction(const char* name,
                                      int (*function)(lua_State*)) {
  lua_register(lua_, name, function);
}

ScenarioRunner& ScenarioRunner::Self(lua_State* lua) {
  return **static_cast<ScenarioRunner**>(lua_getextraspace(lua));
}

int ScenarioRunner::RaiseIfError(lua_State* lua, const Status& status) {
  if (IsOk(status)) return 0;
  return luaL_error(lua, "%s", ErrorOf(status).message.c_str());
}

Status ScenarioRunner::Run(const std::string& path) {
  const bool failed = luaL_dofile(lua_, path.c_str());
  for (const std::string& name : frozen_) processes_.Signal(name, SIGCONT);
  callers_.Wait();
  if (!failed) return OkStatus();
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               lua_tostring(lua_, -1)};
}

int ScenarioRunner::Calls(lua_State* lua) {
  luaL_checktype(lua, 1, LUA_TTABLE);
  CallerPlan plan;
  plan.kind = TextField(lua, "kind", "quote");
  plan.target = TextField(lua, "target", "desk");
  plan.mark = TextField(lua, "mark", "");
  plan.calls_per_second = NumberField(lua, "rate", plan.calls_per_second);
  plan.duration = ToMilliseconds(NumberField(lua, "seconds", 10));
  plan.deadline = ToMilliseconds(NumberField(lua, "deadline", 4));
  plan.duplicate_fraction = NumberField(lua, "twice", 0);
  plan.early_retry_fraction = NumberField(lua, "impatient", 0);
  plan.threads = static_cast<std::uint32_t>(NumberField(lua, "threads", 32));
  Self(lua).callers_.Start(plan);
  return 0;
}

int ScenarioRunner::Wait(lua_State* lua) {
  Self(lua).callers_.Wait();
  return 0;
}

int ScenarioRunner::Sleep(lua_State* lua) {
  std::this_thread::sleep_for(ToMilliseconds(luaL_checknumber(lua, 1)));
  return 0;
}

Status ScenarioRunner::Signal(const std::string& name, int signal_number) {
  return processes_.Signal(name, signal_number);
}

int ScenarioRunner::Kill(lua_State* lua) {
  return RaiseIfError(lua, Self(lua).Signal(luaL_checkstring(lua, 1), SIGKILL));
}

int ScenarioRunner::Stop(lua_State* lua) {
  return RaiseIfError(lua, Self(lua).Signal(luaL_checkstring(lua, 1), SIGTERM));
}

int ScenarioRunner::Freeze(lua_State* lua) {
  ScenarioRunner& self = Self(lua);
  const std::string name = luaL_checkstring(lua, 1);
  self.frozen_.push_back(name);
  return RaiseIfError(lua, self.Signal(name, SIGSTOP));
}

int ScenarioRunner::Thaw(lua_State* lua) {
  ScenarioRunner& self = Self(lua);
  const std::string name = luaL_checkstring(lua, 1);
  std::erase(self.frozen_, name);
  return RaiseIfError(lua, self.Signal(name, SIGCONT));
}

int ScenarioRunner::Restart(lua_State* lua) {
  return RaiseIfError(lua,
                      Self(lua).processes_.Restart(luaL_checkstring(lua, 1)));
}

Status ScenarioRunner::SendRequest(const std::string& name,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body) {
  const auto process = processes_.Find(name);
  if (!IsOk(process)) return ErrorOf(process);
  UpstreamRequest request;
  request.endpoint = ValueOf(process).endpoint;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = kRequestTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage == ExchangeStage::kEnded && outcome.status < 300) {
    return OkStatus();
  }
  return Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun,
               name + path + " was not accepted"};
}

int ScenarioRunner::Fault(lua_State* lua) {
  luaL_checktype(lua, 2, LUA_TTABLE);
  const Json body = TableToJson(lua, 2);
  return RaiseIfError(
      lua, Self(lua).SendRequest(luaL_checkstring(lua, 1), "POST", "/fault",
                                 body.dump()));
}

int ScenarioRunner::Leave(lua_State* lua) {
  ScenarioRunner& self = Self(lua);
  const std::string name = luaL_checkstring(lua, 1);
  self.leaves_.push_back(
      {UpstreamId(name), ToHistoryTime(self.clock_.WallNow())});
  const Json body = {{"ServiceID", name}, {"state", "leaving"}};
  return RaiseIfError(lua, self.SendRequest("platform", "PUT",
                                            "/v1/catalog/state", body.dump()));
}

int ScenarioRunner::Random(lua_State* lua) {
  const auto bound = static_cast<std::uint64_t>(luaL_checkinteger(lua, 1));
  luaL_argcheck(lua, bound > 0, 1, "must be above zero");
  const std::uint64_t n = Self(lua).random_.Below(bound) + 1;
  lua_pushinteger(lua, static_cast<lua_Integer>(n));
  return 1;
}

}  // namespace briarspread
