#include "programs/rules/rules_commands.h"

#include <charconv>
#include <utility>
#include <vector>

#include "briarspread/rules/rule_diff.h"
#include "programs/rules/command_reports.h"
#include "programs/rules/rules_file.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kStatusInterval{200};
constexpr milliseconds kRetryInterval{500};

/// Returns the revision that the operator edited, as given by `--base` or by
/// the file, or revision 0 if no rules are in force yet. Returns a usage error
/// otherwise.
std::variant<Revision, CommandResult> BaseOf(const RulesFile& file,
                                             const std::string& option,
                                             const RuleText& in_force) {
  if (option == "current") return in_force.revision;
  if (!option.empty()) {
    std::uint64_t n = 0;
    const char* end = option.data() + option.size();
    const auto [it, ec] = std::from_chars(option.data(), end, n);
    if (ec == std::errc() && it == end) return Revision(n);
    return MakeFailure(
        ExitCode::kUsage,
        "--base: found '" + option + "', allowed: a revision or current");
  }
  if (file.base.has_value()) return *file.base;
  if (in_force.revision == Revision(0)) return in_force.revision;
  return MakeFailure(
      ExitCode::kUsage,
      "the file does not say which revision was edited, and revision " +
          std::to_string(in_force.revision.value()) +
          " is in force. Take a file from 'show', which starts with "
          "'# revision: N'; or name the revision by --base=N; or replace all "
          "that is in force by --base=current.");
}

/// Returns whether every instance has `revision` or a later one in force.
bool IsInForce(const std::vector<InstanceRevision>& rows, Revision revision) {
  for (const InstanceRevision& row : rows) {
    if (!row.revision.has_value() || *row.revision < revision) return false;
  }
  return true;
}

}  // namespace

RulesCommands::RulesCommands(RuleStore& store, FleetStatus& fleet,
                             const Clock& clock, SleepFunction sleep)
    : store_(store), fleet_(fleet), clock_(clock), sleep_(std::move(sleep)) {}

CommandResult RulesCommands::Check(const std::string& file_text) {
  const auto parsed = ParseDocument(ReadRulesFile(file_text).text);
  if (const auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
    return ReportErrors(*errors);
  }
  const std::size_t count = std::get<RuleDocument>(parsed).rules.size();
  CommandResult result;
  result.json["rules"] = count;
  result.out = std::to_string(count) + " rules, no errors\n";
  return result;
}

CommandResult RulesCommands::Diff(const std::string& file_text) {
  const auto wanted = ParseDocument(ReadRulesFile(file_text).text);
  if (const auto* errors = std::get_if<std::vector<RuleError>>(&wanted)) {
    return ReportErrors(*errors);
  }
  const auto read = store_.Read();
  if (!IsOk(read)) return ReportError(ErrorOf(read));
  const RuleText& in_force = ValueOf(read).rules;
  const auto current = ParseDocument(in_force.text);
  if (!std::holds_alternative<RuleDocument>(current)) {
    return MakeFailure(
        ExitCode::kFailed,
        "this program does not know some rules in force; use a newer "
        "one");
  }
  return ReportDiff(in_force.revision,
                    DiffRules(std::get<RuleDocument>(current),
                              std::get<RuleDocument>(wanted)));
}

CommandResult RulesCommands::Apply(const std::string& file_text,
                                   const CommandOptions& options) {
  const RulesFile file = ReadRulesFile(file_text);
  // The file is parsed before the store parses the proposal, so that errors
  // have the line numbers of the file.
  const auto parsed = ParseDocument(file.text);
  if (const auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
    return ReportErrors(*errors);
  }
  const auto read = store_.Read();
  if (!IsOk(read)) return ReportError(ErrorOf(read));
  const RuleText& in_force = ValueOf(read).rules;
  const bool is_unchanged =
      in_force.revision > Revision(0) &&
      FormatDocument(std::get<RuleDocument>(ParseDocument(file.stored_text))) ==
          in_force.text;
  const auto base =
      is_unchanged ? std::variant<Revision, CommandResult>(in_force.revision)
                   : BaseOf(file, options.base, in_force);
  if (const auto* failed = std::get_if<CommandResult>(&base)) return *failed;
  CommandResult result = Propose({options.operation, std::get<Revision>(base),
                                  file.stored_text, options.who},
                                 options, file.base.has_value() ? 1 : 0);
  // A file without a revision line is not rewritten.
  if (!file.base.has_value()) result.file_text = std::nullopt;
  return result;
}

CommandResult RulesCommands::Revert(Revision revision,
                                    const CommandOptions& options) {
  const auto read = store_.Read();
  if (!IsOk(read)) return ReportError(ErrorOf(read));
  auto text = store_.TextAt(revision);
  if (!IsOk(text)) return ReportError(ErrorOf(text));
  CommandResult result =
      Propose({options.operation, ValueOf(read).rules.revision,
               std::move(ValueOf(text)), options.who},
              options, 0);
  result.json["reverted_to"] = revision.value();
  result.file_text = std::nullopt;
  return result;
}

CommandResult RulesCommands::Propose(const RuleProposal& proposal,
                                     const CommandOptions& options,
                                     std::size_t lines_above) {
  ApplyOutcome outcome = ApplyWithRetry(proposal, options.retry_timeout);
  if (const auto* errors = std::get_if<std::vector<RuleError>>(&outcome)) {
    return ReportErrors(*errors);
  }
  if (auto* clashes = std::get_if<std::vector<RuleClash>>(&outcome)) {
    for (RuleClash& clash : *clashes) {
      if (clash.later.has_value()) clash.later->number += lines_above;
    }
    return ReportClashes(*clashes);
  }
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return ReportUnapplied(*error, proposal.operation);
  }
  const auto& acceptance = std::get<RuleAcceptance>(outcome);
  CommandResult result = ReportAcceptance(acceptance);
  result.file_text = FormatRulesFile(acceptance.in_force);
  if (options.wait > milliseconds(0)) {
    WaitForFleet(acceptance.in_force.revision, options.wait, result);
  }
  return result;
}

ApplyOutcome RulesCommands::ApplyWithRetry(const RuleProposal& proposal,
                                           milliseconds retry_timeout) {
  const TimePoint limit = clock_.Now() + retry_timeout;
  while (true) {
    ApplyOutcome outcome = store_.Apply(proposal);
    const auto* error = std::get_if<Error>(&outcome);
    const bool is_outcome_unknown =
        error != nullptr && error->verdict == Verdict::kMayHaveRun;
    // Proposing the same operation again returns its outcome if it was
    // accepted.
    if (!is_outcome_unknown || clock_.Now() >= limit) return outcome;
    sleep_(kRetryInterval);
  }
}

void RulesCommands::WaitForFleet(Revision revision, milliseconds wait,
                                 CommandResult& result) {
  const TimePoint limit = clock_.Now() + wait;
  while (true) {
    const auto read = fleet_.Read();
    const bool everywhere = IsOk(read) && IsInForce(ValueOf(read), revision);
    if (everywhere || clock_.Now() >= limit) {
      ReportWait(read, revision, everywhere, result);
      return;
    }
    sleep_(kStatusInterval);
  }
}

CommandResult RulesCommands::Show(std::optional<Revision> revision) {
  const auto read = store_.Read();
  if (!IsOk(read)) return ReportError(ErrorOf(read));
  RuleText shown = ValueOf(read).rules;
  if (revision.has_value()) {
    auto text = store_.TextAt(*revision);
    if (!IsOk(text)) return ReportError(ErrorOf(text));
    shown = RuleText{*revision, std::move(ValueOf(text))};
  }
  CommandResult result;
  result.json["revision"] = shown.revision.value();
  result.json["text"] = shown.text;
  result.out = FormatRulesFile(shown);
  return result;
}

CommandResult RulesCommands::History(const CommandOptions& options) {
  const auto read = store_.History(options.limit);
  if (!IsOk(read)) return ReportError(ErrorOf(read));
  return ReportHistory(ValueOf(read));
}

CommandResult RulesCommands::Status() {
  const auto read = store_.Read();
  if (!IsOk(read)) return ReportError(ErrorOf(read));
  const auto rows = fleet_.Read();
  if (!IsOk(rows)) return ReportError(ErrorOf(rows));
  const Revision revision = ValueOf(read).rules.revision;
  CommandResult result;
  result.json["accepted"] = revision.value();
  result.out = "accepted: revision " + std::to_string(revision.value()) + "\n";
  ReportInstances(ValueOf(rows), revision, result);
  if (!IsInForce(ValueOf(rows), revision)) {
    result.code = ExitCode::kNotEverywhere;
  }
  return result;
}

}  // namespace briarspread
