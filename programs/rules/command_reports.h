#ifndef PROGRAMS_RULES_COMMAND_REPORTS_H_
#define PROGRAMS_RULES_COMMAND_REPORTS_H_

#include <string>
#include <vector>

#include "briarspread/rules/rule_diff.h"
#include "briarspread/rules/rule_store.h"
#include "programs/rules/command_result.h"
#include "programs/rules/fleet_status.h"

namespace briarspread {

// Results of the commands, as text for operators and as JSON for scripts.

/// Returns the result of a command that failed with a message.
CommandResult MakeFailure(ExitCode code, const std::string& message);
/// Returns the result of a failed call to the store or the instance list that
/// changed nothing.
CommandResult ReportError(const Error& error);
/// Returns the result of a proposal that was not accepted or, by the error's
/// verdict, may have been accepted.
CommandResult ReportUnapplied(const Error& error, const OperationId& operation);
/// Returns the result for a rules text with errors.
CommandResult ReportErrors(const std::vector<RuleError>& errors);
/// Returns the result of a proposal that conflicts with other operators'
/// changes.
CommandResult ReportClashes(const std::vector<RuleClash>& clashes);
/// Returns the result of an accepted proposal.
CommandResult ReportAcceptance(const RuleAcceptance& acceptance);
/// Returns the differences from the rules in force, which have `revision`.
CommandResult ReportDiff(Revision revision, const RuleDiff& diff);
/// Returns a list of changes, in the given order.
CommandResult ReportHistory(const std::vector<RuleChange>& changes);

/// Adds a line for each instance and marks those that do not have `revision` or
/// a later one in force.
void ReportInstances(const std::vector<InstanceRevision>& rows,
                     Revision revision, CommandResult& result);
/// Adds the outcome of waiting until all instances have `revision` in force.
/// `read` is the last query of the instances, `everywhere` whether all of them
/// had it.
void ReportWait(const Result<std::vector<InstanceRevision>>& read,
                Revision revision, bool everywhere, CommandResult& result);

}  // namespace briarspread

#endif  // PROGRAMS_RULES_COMMAND_REPORTS_H_
