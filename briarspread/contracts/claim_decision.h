#ifndef BRIARSPREAD_CONTRACTS_CLAIM_DECISION_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_DECISION_H_

#include <variant>

#include "briarspread/contracts/home_table.h"
#include "briarspread/contracts/key_table.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// The caller must run the request now, then call `Finish`.
struct RunIt {};

/// The request ended before; its answer goes to the caller again.
struct StoredAnswer {
  /// The answer.
  KeyedOutcome outcome;
};

/// Another process owns the key's home.
struct NotHome {
  /// The epoch of the table that says so.
  Epoch epoch;
  /// The home, with its owner and standby; no name where no home is known.
  Home home;
};

/// The request must not run. The error's verdict is `kMayHaveRun` where an
/// earlier attempt at the key may have run.
struct Refused {
  /// Why, and when to come back.
  Error error;
};

/// What to do with a request that carries an idempotency key.
using ClaimDecision = std::variant<RunIt, StoredAnswer, NotHome, Refused>;

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_DECISION_H_
