#ifndef PROGRAMS_RULES_COMMAND_RESULT_H_
#define PROGRAMS_RULES_COMMAND_RESULT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace briarspread {

/// The program's exit codes; docs/RULES.md lists them for scripts.
enum class ExitCode {
  /// Done.
  kOk = 0,
  /// Not done, and nothing changed.
  kFailed = 1,
  /// The command line is wrong.
  kUsage = 2,
  /// The text of rules has errors.
  kBadRules = 3,
  /// Another operator changed the same rule.
  kClash = 4,
  /// Accepted, but not every live instance has it in force.
  kNotEverywhere = 5,
  /// The answer was lost: the change may or may not have been accepted.
  kUnknown = 6,
  /// `diff` found differences.
  kDifferent = 7,
};

/// What a command printed and returned.
struct CommandResult {
  /// The exit code.
  ExitCode code = ExitCode::kOk;
  /// For `--json`: everything that the texts say.
  nlohmann::json json = nlohmann::json::object();
  /// For standard output.
  std::string out;
  /// For standard error.
  std::string err;
  /// What the operator's file is to hold now; empty: as it is.
  std::optional<std::string> file_text;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_COMMAND_RESULT_H_
