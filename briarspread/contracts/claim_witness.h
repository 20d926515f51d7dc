#ifndef BRIARSPREAD_CONTRACTS_CLAIM_WITNESS_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_WITNESS_H_

#include "briarspread/contracts/claim_batch.h"

namespace briarspread {

/// Carries batches to standbys. Implementations are safe to call from any
/// thread.
class ClaimWitness {
 public:
  virtual ~ClaimWitness() = default;
  /// Sends the batch and waits for the answer. `kProcessDead` only where the
  /// standby's address refused the connection; any other failure is
  /// `kNoAnswer`. Blocks for a time well below the takeover right.
  virtual WitnessAnswer Send(const InstanceId& standby,
                             const WitnessBatch& batch) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_WITNESS_H_
