#ifndef PROGRAMS_RULES_RULES_COMMANDS_H_
#define PROGRAMS_RULES_RULES_COMMANDS_H_

#include <functional>
#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/rules/rule_store.h"
#include "programs/rules/command_result.h"
#include "programs/rules/fleet_status.h"

namespace briarspread {

/// The options of the command line.
struct CommandOptions {
  /// The operator, recorded in the history.
  std::string who;
  /// Identifies the operation across retries.
  OperationId operation;
  /// `--base`: a revision, `current`, or empty to use the revision that the
  /// file names.
  std::string base;
  /// `--wait`: maximum time to wait until every live instance has the change in
  /// force; zero: do not wait.
  milliseconds wait{0};
  /// Maximum time for proposing a change again after the store's response was
  /// lost.
  milliseconds retry_timeout{10000};
  /// Maximum number of changes that `history` shows.
  std::size_t limit = 20;
};

/// The commands of `briarspread-rules`. Not thread-safe.
class RulesCommands {
 public:
  /// Blocks for the given time.
  using SleepFunction = std::function<void(milliseconds)>;

  /// Precondition: `store`, `fleet` and `clock` outlive this object.
  RulesCommands(RuleStore& store, FleetStatus& fleet, const Clock& clock,
                SleepFunction sleep);

  /// Checks a file without calling the store.
  static CommandResult Check(const std::string& file_text);
  /// Shows the differences between the rules in force and the file.
  CommandResult Diff(const std::string& file_text);
  /// Proposes the file's rules, merging them with changes made since its base.
  CommandResult Apply(const std::string& file_text,
                      const CommandOptions& options);
  /// Shows the rules in force, or those of a revision, as a file to edit.
  CommandResult Show(std::optional<Revision> revision);
  /// Shows the last changes, newest first.
  CommandResult History(const CommandOptions& options);
  /// Shows which revision each live instance has in force.
  CommandResult Status();
  /// Proposes the text of an older revision as a new revision.
  CommandResult Revert(Revision revision, const CommandOptions& options);

 private:
  /// Applies a proposal and waits for the fleet if the options say so.
  /// `lines_above` is the number of lines in the operator's file before the
  /// proposal's text.
  CommandResult Propose(const RuleProposal& proposal,
                        const CommandOptions& options, std::size_t lines_above);
  /// Applies a proposal and repeats it while its outcome is unknown.
  ApplyOutcome ApplyWithRetry(const RuleProposal& proposal,
                              milliseconds retry_timeout);
  /// Waits until every live instance has `revision` in force, for at most
  /// `wait`, and adds the outcome to `result`.
  void WaitForFleet(Revision revision, milliseconds wait,
                    CommandResult& result);

  RuleStore& store_;
  FleetStatus& fleet_;
  const Clock& clock_;
  const SleepFunction sleep_;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_RULES_COMMANDS_H_
