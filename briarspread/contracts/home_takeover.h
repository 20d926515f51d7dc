#ifndef BRIARSPREAD_CONTRACTS_HOME_TAKEOVER_H_
#define BRIARSPREAD_CONTRACTS_HOME_TAKEOVER_H_

#include "briarspread/contracts/claim_log.h"

namespace briarspread {

/// What a would-be successor knows of the standby that a sealed log names.
enum class StandbyEvidence {
  /// Nothing: it is silent, and may acknowledge claims.
  kNone,
  /// It is this process, its copy is in sync and fenced.
  kOwnFencedCopy,
  /// Its process is proved gone: its address refused a connection, or another
  /// incarnation answered.
  kProcessDead,
};

/// Whether a successor may take a home whose log it sealed.
enum class TakeoverDecision {
  /// The log, with the own copy if any, holds every claim.
  kComplete,
  /// Claims may be missing: unknown keys end `kMayHaveRun` for the re-send
  /// window.
  kGap,
  /// The owner may still commit through its standby: take nothing.
  kBlocked,
};

/// Decides by the sealed log and the evidence. The order matters: the own copy
/// is fenced before the log is sealed, and the log is sealed before this is
/// asked. Thread-safe.
TakeoverDecision DecideTakeover(const SealedLog& log, StandbyEvidence evidence);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HOME_TAKEOVER_H_
