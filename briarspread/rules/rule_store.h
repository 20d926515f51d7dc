#ifndef BRIARSPREAD_RULES_RULE_STORE_H_
#define BRIARSPREAD_RULES_RULE_STORE_H_

#include <string>
#include <variant>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/rules/rule_log.h"
#include "briarspread/rules/rule_merge.h"

namespace briarspread {

/// Settings of `RuleStore`.
struct RuleStoreSettings {
  /// Settings of the records in the store.
  RuleLogSettings log;
  /// Maximum number of tries of one `Apply`, which tries again after another
  /// writer changed the head or an answer was lost.
  int max_attempts = 64;
};

/// A change of the rules that an operator proposes.
struct RuleProposal {
  /// The id of the proposal. After a lost answer, the same proposal may be made
  /// again under the same id.
  OperationId operation;
  /// The revision that the operator edited.
  Revision base{0};
  /// The whole proposed text.
  std::string text;
  /// The operator who proposes the change.
  std::string who;
};

/// The result of an accepted proposal.
struct RuleAcceptance {
  /// The text now in force and its revision.
  RuleText in_force;
  /// Whether the proposal created a new revision; false if it changes nothing.
  bool changed = false;
  /// Whether it was merged with changes that others made since the base.
  bool merged = false;
};

/// The outcome of a proposal: accepted; refused because of errors in its text;
/// refused because of clashes; or failed. The verdict of an error is
/// `kMayHaveRun` if the change may still be accepted; the same proposal, made
/// again under the same id, then returns the outcome.
using ApplyOutcome = std::variant<RuleAcceptance, std::vector<RuleError>,
                                  std::vector<RuleClash>, Error>;

/// Rules as read from the store.
struct StoredRules {
  /// The text and its revision.
  RuleText rules;
  /// The store index of the head.
  StoreIndex index;
};

/// Reads, watches and changes the operators' rules in the platform's key-value
/// service. Each accepted change increases the revision by one, by one
/// compare-and-swap of the head. The object has no mutable state, so it is
/// thread-safe if the store and the clock are. The methods block while they
/// call the store.
class RuleStore {
 public:
  /// Precondition: `store` and `clock` outlive this object.
  RuleStore(const RuleStoreSettings& settings, KeyValueStore& store,
            const Clock& clock);

  /// Reads the rules in force, with one store call if the head has all changes
  /// since `known`, otherwise with two. Reads again, a few times, if the
  /// snapshot was deleted in the meantime.
  Result<StoredRules> Read(const RuleText& known = {});

  /// Reads as `Read` does, once the index of the head is above `known.index` or
  /// `wait` has elapsed.
  Result<StoredRules> Watch(const StoredRules& known, milliseconds wait);

  /// Puts a proposal in force, merged with the changes of others since its
  /// base. A proposal is accepted as a whole or not at all.
  ApplyOutcome Apply(const RuleProposal& proposal);

  /// Returns the text at an older revision. Fails with `kNotFound` if the
  /// history does not reach back to it or it does not exist yet.
  Result<std::string> TextAt(Revision revision);

  /// Returns up to `most` of the last changes, newest first; fewer if older
  /// ones are no longer kept.
  Result<std::vector<RuleChange>> History(std::size_t most);

 private:
  class ProposalApplier;

  Result<StoredRules> Resolve(const Result<StoredHead>& read,
                              const RuleText& known);

  const RuleStoreSettings settings_;
  /// The records in the store.
  RuleLog log_;
  /// Source of the time of a change.
  const Clock& clock_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_STORE_H_
