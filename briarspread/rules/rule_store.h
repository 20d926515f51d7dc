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
  /// How the records are kept.
  RuleLogSettings log;
  /// How often one `Apply` may start anew when others were faster.
  int max_attempts = 64;
};

/// What an operator wants.
struct RuleProposal {
  /// Names the attempt; the same one may be proposed again after a lost answer.
  OperationId operation;
  /// The revision that the operator edited.
  Revision base{0};
  /// The whole text wanted.
  std::string text;
  /// Who asks.
  std::string who;
};

/// An accepted change.
struct RuleAcceptance {
  /// The text now in force, and its revision.
  RuleText in_force;
  /// Whether it made a new revision; not, where nothing differed.
  bool changed = false;
  /// Whether changes of others since the base were merged in.
  bool merged = false;
};

/// What came of a proposal: accepted; refused for its text; refused for
/// clashes; or not decided for a reason of the store's. An error says
/// `kMayHaveRun` where the change may yet be accepted: propose the same
/// operation again to find out.
using ApplyOutcome = std::variant<RuleAcceptance, std::vector<RuleError>,
                                  std::vector<RuleClash>, Error>;

/// The rules as read from the store.
struct StoredRules {
  /// The text and its revision.
  RuleText rules;
  /// The store's index of the head.
  StoreIndex index;
};

/// The operators' rules in the platform's key-value service: reads, watches and
/// changes them. Revisions strictly increase by one; each is accepted by one
/// compare-and-swap of the head. Holds no state, so it is thread-safe where the
/// store and the clock are.
class RuleStore {
 public:
  /// Precondition: `store` and `clock` outlive this object.
  RuleStore(const RuleStoreSettings& settings, KeyValueStore& store,
            const Clock& clock);

  /// The rules in force. One call where the changes since `known` stand in the
  /// head, else two.
  Result<StoredRules> Read(const RuleText& known = {});

  /// As `Read`, once the head's index is above `known.index`, or after `wait`.
  Result<StoredRules> Watch(const StoredRules& known, milliseconds wait);

  /// Puts a proposal in force, merged with what others changed since its base.
  /// All or nothing.
  ApplyOutcome Apply(const RuleProposal& proposal);

  /// The text at an older revision. Fails with `kNotFound` where it is no
  /// longer kept or does not exist yet.
  Result<std::string> TextAt(Revision revision);

  /// The last changes, newest first, at most `most`; fewer where older ones are
  /// no longer kept.
  Result<std::vector<RuleChange>> History(std::size_t most);

 private:
  class Attempt;

  Result<StoredRules> Resolve(const Result<StoredHead>& read,
                              const RuleText& known);

  /// As given.
  const RuleStoreSettings settings_;
  /// The records.
  RuleLog log_;
  /// Tells when a change was made.
  const Clock& clock_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_STORE_H_
