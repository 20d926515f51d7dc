#ifndef BRIARSPREAD_CONTRACTS_EXCHANGE_VERDICT_H_
#define BRIARSPREAD_CONTRACTS_EXCHANGE_VERDICT_H_

#include "briarspread/core/upstream_client.h"
#include "briarspread/core/verdict.h"

namespace briarspread {

/// Returns the verdict on one exchange with an upstream:
/// - no connection was established: `kNotRun`;
/// - the exchange broke off after that: `kMayHaveRun`, because the upstream may
///   run a partly received request, and the response may have been truncated
///   even if its status is that of a refusal;
/// - complete response with status 429 or 503: `kNotRun`, because the upstream
///   states that it did not run the request;
/// - complete response with any other status from 200 to 499: `kAnswered`;
/// - complete response with any other status: `kMayHaveRun`.
/// The caller must check whether a streamed response carried its end marker.
/// Thread-safe.
Verdict VerdictOf(const ExchangeOutcome& outcome);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_EXCHANGE_VERDICT_H_
