#ifndef BRIARSPREAD_CONTRACTS_HOME_TAKEOVER_H_
#define BRIARSPREAD_CONTRACTS_HOME_TAKEOVER_H_

#include "briarspread/contracts/claim_log.h"

namespace briarspread {

/// What a possible successor knows about the standby named in a sealed log.
enum class StandbyEvidence {
  /// Nothing is known: the standby does not respond, or may still acknowledge
  /// claims.
  kNone,
  /// The standby is this process, and its copy is in sync and fenced.
  kOwnFencedCopy,
  /// The standby's process has ended: its address refused a connection, or
  /// another incarnation responded.
  kProcessDead,
};

/// Whether a successor may take over a home whose log it has sealed.
enum class TakeoverDecision {
  /// It may. The log, together with the successor's own copy if it has one,
  /// holds every claim.
  kComplete,
  /// It may, but claims may be lost: for the re-send window, requests with
  /// unknown keys must be answered with `kMayHaveRun`.
  kGap,
  /// It may not: the owner may still commit claims through its standby.
  kBlocked,
};

/// Decides whether the home may be taken over. Preconditions: the caller first
/// fenced its own copy, if it has one, and then sealed the log.
/// Thread-safe.
TakeoverDecision DecideTakeover(const SealedLog& log, StandbyEvidence evidence);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HOME_TAKEOVER_H_
