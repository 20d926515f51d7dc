// briarspread-rules: checks an operator's rules file, puts it in force, and
// shows which rules each instance has in force. docs/RULES.md describes the
// commands.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/transport/consul_store.h"
#include "briarspread/transport/http_upstream_client.h"
#include "programs/rules/command_reports.h"
#include "programs/rules/http_fleet_status.h"
#include "programs/rules/rules_commands.h"

DEFINE_string(platform_host, "127.0.0.1", "the platform's IP address");
DEFINE_uint32(platform_port, 8500, "the platform's port");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(who, "",
              "operator recorded in the history; empty: the user's name");
DEFINE_string(
    base, "",
    "the revision that was edited, or current to replace all rules in "
    "force; empty: the revision named in the file's first line");
DEFINE_uint32(wait, 0,
              "seconds to wait until every live instance has the change in "
              "force");
DEFINE_string(operation, "", "the operation to complete after a lost response");
DEFINE_uint32(limit, 20, "maximum number of changes that history shows");

namespace briarspread {
namespace {

constexpr char kUsage[] =
    "usage: briarspread-rules [FLAGS] COMMAND\n"
    "  check FILE       look for errors in FILE\n"
    "  diff FILE        what FILE changes of the rules in force\n"
    "  apply FILE       put FILE in force\n"
    "  show [REVISION]  the rules in force, or of a revision, as a file\n"
    "  history          the last changes\n"
    "  status           which revision each live instance has in force\n"
    "  revert REVISION  put an older revision in force, as a new one\n";

using Arguments = std::vector<std::string>;

CommandResult UsageError() { return MakeFailure(ExitCode::kUsage, kUsage); }

std::string UserName() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

CommandOptions ReadOptions() {
  CommandOptions options;
  options.who = FLAGS_who.empty() ? UserName() : FLAGS_who;
  if (options.who.empty()) options.who = "unknown";
  std::random_device device;
  SeededRandom random((std::uint64_t{device()} << 32U) | device());
  const std::string fresh =
      std::to_string(random.Next()) + "-" + std::to_string(random.Next());
  options.operation =
      OperationId(FLAGS_operation.empty() ? fresh : FLAGS_operation);
  options.base = FLAGS_base;
  options.wait = seconds(FLAGS_wait);
  options.limit = FLAGS_limit;
  return options;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

/// Replaces a file atomically through a rename, so that a crash leaves either
/// the old or the new content. Returns whether this succeeded.
bool ReplaceFile(const std::string& path, const std::string& text) {
  const std::string temporary_path = path + ".new";
  std::ofstream out(temporary_path, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  return out && std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

CommandResult WriteBack(const std::string& path, CommandResult result) {
  if (result.file_text.has_value() && !ReplaceFile(path, *result.file_text)) {
    result.err += path + ": could not be updated; take the rules by 'show'\n";
  }
  return result;
}

CommandResult RunOnFile(RulesCommands& commands, const Arguments& arguments) {
  const std::string& path = arguments[1];
  const auto text = ReadFile(path);
  if (!text.has_value()) {
    return MakeFailure(ExitCode::kUsage, path + ": cannot be read");
  }
  if (arguments[0] == "check") return RulesCommands::Check(*text);
  if (arguments[0] == "diff") return commands.Diff(*text);
  return WriteBack(path, commands.Apply(*text, ReadOptions()));
}

CommandResult RunOnRevision(RulesCommands& commands,
                            const Arguments& arguments) {
  std::uint64_t n = 0;
  const char* end = arguments[1].data() + arguments[1].size();
  const auto [it, ec] = std::from_chars(arguments[1].data(), end, n);
  if (ec != std::errc() || it != end) {
    return MakeFailure(ExitCode::kUsage,
                       "found '" + arguments[1] + "', allowed: a revision");
  }
  if (arguments[0] == "show") return commands.Show(Revision(n));
  return commands.Revert(Revision(n), ReadOptions());
}

CommandResult RunCommand(RulesCommands& commands, const Arguments& arguments) {
  if (arguments.empty() || arguments.size() > 2) return UsageError();
  const std::string& name = arguments[0];
  if (arguments.size() == 2) {
    if (name == "check" || name == "diff" || name == "apply") {
      return RunOnFile(commands, arguments);
    }
    if (name == "show" || name == "revert") {
      return RunOnRevision(commands, arguments);
    }
    return UsageError();
  }
  if (name == "show") return commands.Show(std::nullopt);
  if (name == "history") return commands.History(ReadOptions());
  if (name == "status") return commands.Status();
  return UsageError();
}

int Run(const Arguments& arguments) {
  SystemClock clock;
  HttpUpstreamClient client;
  ConsulSettings settings;
  settings.endpoint = {FLAGS_platform_host,
                       static_cast<std::uint16_t>(FLAGS_platform_port)};
  ConsulStore platform(settings, client);
  ConsulInstanceList list(settings, client);
  RuleStore store(RuleStoreSettings{}, platform, clock);
  HttpFleetStatus fleet(list, client);
  RulesCommands commands(store, fleet, clock, [](milliseconds time) {
    std::this_thread::sleep_for(time);
  });
  CommandResult result = RunCommand(commands, arguments);
  const int code = static_cast<int>(result.code);
  if (FLAGS_json) {
    result.json["exit_code"] = code;
    constexpr int kIndent = 2;
    std::cout << result.json.dump(kIndent, ' ', false,
                                  nlohmann::json::error_handler_t::replace)
              << "\n";
    return code;
  }
  std::cout << result.out;
  std::cerr << result.err;
  return code;
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(briarspread::kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::Run({argv + 1, argv + argc});
}
