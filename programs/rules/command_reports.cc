#include "programs/rules/command_reports.h"

#include <ctime>

namespace briarspread {
namespace {

using Json = nlohmann::json;

/// Returns a point in time in UTC in ISO 8601 format.
std::string FormatTime(milliseconds since_epoch) {
  const auto time = static_cast<std::time_t>(
      std::chrono::duration_cast<seconds>(since_epoch).count());
  std::tm parts{};
  if (gmtime_r(&time, &parts) == nullptr) return "?";
  char buf[32];
  const std::size_t size =
      std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return std::string(buf, size);
}

Json JsonOf(const std::optional<RuleLine>& rule) {
  if (!rule.has_value()) return nullptr;
  return Json{{"rule", FormatRule(*rule)}, {"who", rule->who}};
}

std::string RevisionText(Revision revision) {
  return "revision " + std::to_string(revision.value());
}

void AppendLines(const std::string& mark, const std::vector<std::string>& lines,
                 std::string& out) {
  for (const std::string& line : lines) out += mark + line + "\n";
}

}  // namespace

CommandResult MakeFailure(ExitCode code, const std::string& message) {
  CommandResult result;
  result.code = code;
  result.json["error"] = message;
  result.err = message + "\n";
  return result;
}

CommandResult ReportError(const Error& error) {
  return MakeFailure(ExitCode::kFailed,
                     error.message + "; nothing was changed");
}

CommandResult ReportUnapplied(const Error& error,
                              const OperationId& operation) {
  if (error.verdict != Verdict::kMayHaveRun) return ReportError(error);
  CommandResult result = MakeFailure(
      ExitCode::kUnknown,
      error.message +
          "; the change may have been accepted. To find out and complete it, "
          "run the same command again with --operation=" +
          operation.value());
  result.json["operation"] = operation.value();
  return result;
}

CommandResult ReportErrors(const std::vector<RuleError>& errors) {
  CommandResult result;
  result.code = ExitCode::kBadRules;
  result.json["errors"] = Json::array();
  for (const RuleError& error : errors) {
    result.json["errors"].push_back({{"line", error.line},
                                     {"column", error.column},
                                     {"found", error.found},
                                     {"allowed", error.allowed}});
    result.err += Describe(error) + "\n";
  }
  return result;
}

CommandResult ReportClashes(const std::vector<RuleClash>& clashes) {
  CommandResult result;
  result.code = ExitCode::kClash;
  result.json["clashes"] = Json::array();
  for (const RuleClash& clash : clashes) {
    result.json["clashes"].push_back({{"kind", clash.identity.kind},
                                      {"selectors", clash.identity.selectors},
                                      {"earlier", JsonOf(clash.earlier)},
                                      {"later", JsonOf(clash.later)}});
    result.err += Describe(clash) + "\n";
  }
  result.err +=
      "nothing was changed; take what is in force by 'show' and edit that\n";
  return result;
}

CommandResult ReportAcceptance(const RuleAcceptance& acceptance) {
  CommandResult result;
  result.json["revision"] = acceptance.in_force.revision.value();
  result.json["changed"] = acceptance.changed;
  result.json["merged"] = acceptance.merged;
  result.out = acceptance.changed ? "accepted: " : "nothing to change: ";
  result.out += RevisionText(acceptance.in_force.revision);
  if (acceptance.merged) result.out += ", merged with others' changes";
  result.out += "\n";
  return result;
}

CommandResult ReportDiff(Revision revision, const RuleDiff& diff) {
  CommandResult result;
  result.code = diff.empty() ? ExitCode::kOk : ExitCode::kDifferent;
  result.json = Json{{"in_force", revision.value()},
                     {"removed", diff.removed},
                     {"added", diff.added},
                     {"changed", Json::array()},
                     {"reordered", diff.reordered}};
  AppendLines("- ", diff.removed, result.out);
  for (const RuleDifference& difference : diff.changed) {
    result.json["changed"].push_back(
        {{"before", difference.before}, {"after", difference.after}});
    result.out += "- " + difference.before + "\n+ " + difference.after + "\n";
  }
  AppendLines("+ ", diff.added, result.out);
  AppendLines("another order: ", diff.reordered, result.out);
  return result;
}

CommandResult ReportHistory(const std::vector<RuleChange>& changes) {
  CommandResult result;
  result.json["changes"] = Json::array();
  for (const RuleChange& change : changes) {
    result.json["changes"].push_back({{"revision", change.revision.value()},
                                      {"who", change.who},
                                      {"when", FormatTime(change.when)},
                                      {"removed", change.edit.removed},
                                      {"added", change.edit.added}});
    result.out += RevisionText(change.revision) + "  " +
                  FormatTime(change.when) + "  " + change.who + "\n";
    AppendLines("  - ", change.edit.removed, result.out);
    AppendLines("  + ", change.edit.added, result.out);
  }
  return result;
}

void ReportInstances(const std::vector<InstanceRevision>& rows,
                     Revision revision, CommandResult& result) {
  result.json["instances"] = Json::array();
  result.json["behind"] = Json::array();
  for (const InstanceRevision& row : rows) {
    Json json{{"instance", row.instance.value()}, {"revision", nullptr}};
    std::string line = row.instance.value() + ": ";
    if (row.revision.has_value()) {
      json["revision"] = row.revision->value();
      line += RevisionText(*row.revision);
    } else {
      json["failure"] = row.failure;
      line += "no answer: " + row.failure;
    }
    const bool behind = !row.revision.has_value() || *row.revision < revision;
    if (behind) result.json["behind"].push_back(row.instance.value());
    result.json["instances"].push_back(std::move(json));
    result.out += line + (behind ? "  (behind)\n" : "\n");
  }
}

void ReportWait(const Result<std::vector<InstanceRevision>>& read,
                Revision revision, bool everywhere, CommandResult& result) {
  if (!IsOk(read)) {
    result.code = ExitCode::kNotEverywhere;
    result.json["error"] = ErrorOf(read).message;
    result.err +=
        "the instances are not known: " + ErrorOf(read).message + "\n";
    return;
  }
  if (everywhere) {
    result.json["in_force_on"] = ValueOf(read).size();
    result.out += "in force on all " + std::to_string(ValueOf(read).size()) +
                  " live instances\n";
    return;
  }
  result.code = ExitCode::kNotEverywhere;
  CommandResult listed;
  ReportInstances(ValueOf(read), revision, listed);
  result.json["behind"] = listed.json["behind"];
  result.json["instances"] = listed.json["instances"];
  result.err +=
      "accepted, but not yet in force on every instance:\n" + listed.out;
}

}  // namespace briarspread
