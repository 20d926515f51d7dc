#ifndef BRIARSPREAD_CONTRACTS_STANDBY_CLIENT_H_
#define BRIARSPREAD_CONTRACTS_STANDBY_CLIENT_H_

#include "briarspread/contracts/claim_batch.h"

namespace briarspread {

/// Sends batches of claims to standbys. Implementations must be thread-safe.
class StandbyClient {
 public:
  virtual ~StandbyClient() = default;
  /// Sends the batch and waits for the reply. The outcome is `kProcessDead`
  /// only if the standby's address refused the connection; any other failure is
  /// `kNoReply`. The call must time out well before the standby's takeover
  /// lease (`StandbySettings::takeover_lease`) does.
  virtual ClaimBatchReply Send(const InstanceId& standby,
                               const ClaimBatch& batch) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_STANDBY_CLIENT_H_
