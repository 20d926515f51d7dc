#ifndef PROGRAMS_RULES_COMMAND_RESULT_H_
#define PROGRAMS_RULES_COMMAND_RESULT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace briarspread {

/// The program's exit codes; docs/RULES.md lists them for scripts.
enum class ExitCode {
  /// The command succeeded.
  kOk = 0,
  /// The command failed and changed nothing.
  kFailed = 1,
  /// The command line is invalid, or the file does not name the revision that
  /// was edited.
  kUsage = 2,
  /// The rules text has errors.
  kBadRules = 3,
  /// The proposal conflicts with a change by another operator.
  kClash = 4,
  /// The change was accepted, but not every live instance has it in force, or
  /// the instances could not be queried. `status`: not every live instance has
  /// the accepted revision in force.
  kNotEverywhere = 5,
  /// The store's response was lost: the change may have been accepted.
  kUnknown = 6,
  /// `diff` found differences.
  kDifferent = 7,
};

/// The output and exit code of a command.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  /// Output of `--json`; holds the same information as the texts.
  nlohmann::json json = nlohmann::json::object();
  /// Text for standard output.
  std::string out;
  /// Text for standard error.
  std::string err;
  /// New content of the operator's file; empty if the file stays unchanged.
  std::optional<std::string> file_text;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_COMMAND_RESULT_H_
