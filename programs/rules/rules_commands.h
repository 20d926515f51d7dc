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

/// What the command line asks for beside the command.
struct CommandOptions {
  /// Who asks; stands in the history.
  std::string who;
  /// Names the attempt.
  OperationId operation;
  /// `--base`: a revision, `current`, or empty for what the file says.
  std::string base;
  /// `--wait`: how long to wait for every live instance; zero: not at all.
  milliseconds wait{0};
  /// How long a lost answer is read back.
  milliseconds patience{10000};
  /// How many changes `history` shows.
  std::size_t limit = 20;
};

/// The commands of `briarspread-rules`. Not thread-safe.
class RulesCommands {
 public:
  /// Waits for some time.
  using Pause = std::function<void(milliseconds)>;

  /// Precondition: all arguments outlive this object.
  RulesCommands(RuleStore& store, FleetStatus& fleet, const Clock& clock,
                Pause pause);

  /// Checks a file without calling the store.
  static CommandResult Check(const std::string& file_text);
  /// What `apply` would change, if nobody else changed anything.
  CommandResult Diff(const std::string& file_text);
  /// Puts a file in force.
  CommandResult Apply(const std::string& file_text,
                      const CommandOptions& options);
  /// The rules in force, or those of a revision, as a file to edit.
  CommandResult Show(std::optional<Revision> revision);
  /// The last changes, newest first.
  CommandResult History(const CommandOptions& options);
  /// Which revision each live instance has in force.
  CommandResult Status();
  /// Puts an older revision's text in force as a new revision.
  CommandResult Revert(Revision revision, const CommandOptions& options);

 private:
  /// `lines_above` is the number of lines that the operator's file has above
  /// the proposal's text.
  CommandResult Propose(const RuleProposal& proposal,
                        const CommandOptions& options, std::size_t lines_above);
  ApplyOutcome ApplyPatiently(const RuleProposal& proposal,
                              milliseconds patience);
  void WaitForFleet(Revision revision, milliseconds wait,
                    CommandResult& result);

  /// The rules in the store.
  RuleStore& store_;
  /// The instances.
  FleetStatus& fleet_;
  /// Tells how long was waited.
  const Clock& clock_;
  /// Waits.
  const Pause pause_;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_RULES_COMMANDS_H_
