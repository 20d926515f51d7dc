#ifndef BRIARSPREAD_CONTRACTS_EXCHANGE_VERDICT_H_
#define BRIARSPREAD_CONTRACTS_EXCHANGE_VERDICT_H_

#include "briarspread/core/upstream_client.h"
#include "briarspread/core/verdict.h"

namespace briarspread {

/// The verdict on one exchange with an upstream:
/// - no connection: `kNotRun`;
/// - ended early after that: `kMayHaveRun`, because a part of a request may be
///   run, and the head of a refusal may belong to an answer that was cut;
/// - whole 429 or 503: `kNotRun`, the upstream's own statement;
/// - whole 2xx to 4xx otherwise: `kAnswered`;
/// - any other status: `kMayHaveRun`.
/// Whether a stream carried its end marker is for the caller to check.
/// Thread-safe.
Verdict VerdictOf(const ExchangeOutcome& outcome);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_EXCHANGE_VERDICT_H_
