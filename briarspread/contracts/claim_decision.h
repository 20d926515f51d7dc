#ifndef BRIARSPREAD_CONTRACTS_CLAIM_DECISION_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_DECISION_H_

#include <variant>

#include "briarspread/contracts/home_table.h"
#include "briarspread/contracts/key_table.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// The caller must run the request now and call `Finish` with the outcome.
struct RunRequest {};

/// The request has already ended. The caller gets the stored response.
struct StoredResponse {
  KeyedOutcome outcome;
};

/// Another process owns the key's home.
struct NotOwner {
  /// The epoch of the table that names the owner.
  Epoch epoch;
  /// The home with its owner and standby. The name is empty if no home is
  /// known.
  Home home;
};

/// The request must not run. The error's verdict is `kMayHaveRun` if an earlier
/// request with the same key may have run.
struct Refused {
  /// The reason and, if a retry makes sense, when to retry.
  Error error;
};

/// How to handle a request that carries an idempotency key.
using ClaimDecision =
    std::variant<RunRequest, StoredResponse, NotOwner, Refused>;

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_DECISION_H_
