#ifndef PROGRAMS_RULES_COMMAND_REPORTS_H_
#define PROGRAMS_RULES_COMMAND_REPORTS_H_

#include <string>
#include <vector>

#include "briarspread/rules/rule_diff.h"
#include "briarspread/rules/rule_store.h"
#include "programs/rules/command_result.h"
#include "programs/rules/fleet_status.h"

namespace briarspread {

/// What the commands print, as text for a person and as JSON for a script.

/// A command that failed with a message.
CommandResult Failed(ExitCode code, const std::string& message);
/// A call to the store or the instance list that failed; nothing changed.
CommandResult ReportError(const Error& error);
/// A proposal that was not accepted, or may have been.
CommandResult ReportUnapplied(const Error& error, const OperationId& operation);
/// A text of rules with errors.
CommandResult ReportErrors(const std::vector<RuleError>& errors);
/// A proposal that clashes with other operators' changes.
CommandResult ReportClashes(const std::vector<RuleClash>& clashes);
/// A proposal in force.
CommandResult ReportAcceptance(const RuleAcceptance& acceptance);
/// The differences against what is in force at `revision`.
CommandResult ReportDiff(Revision revision, const RuleDiff& diff);
/// The last changes.
CommandResult ReportHistory(const std::vector<RuleChange>& changes);

/// Adds one line for each instance, saying which ones lack `revision`.
void ReportInstances(const std::vector<InstanceRevision>& rows,
                     Revision revision, CommandResult& result);
/// Adds how the wait for the fleet ended.
void ReportWait(const Result<std::vector<InstanceRevision>>& read,
                Revision revision, bool everywhere, CommandResult& result);

}  // namespace briarspread

#endif  // PROGRAMS_RULES_COMMAND_REPORTS_H_
