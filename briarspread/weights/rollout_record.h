#ifndef BRIARSPREAD_WEIGHTS_ROLLOUT_RECORD_H_
#define BRIARSPREAD_WEIGHTS_ROLLOUT_RECORD_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// Progress of a replica towards the record's version.
enum class ReplicaProgress {
  /// Not loaded yet.
  kPending,
  /// Loaded, as the replica itself reported.
  kLoaded,
  /// The last swap failed; the replica is out of rotation until one succeeds.
  kFailed,
};

/// State of one replica in a rollout.
struct ReplicaRecord {
  /// The replica.
  UpstreamId id;
  /// Progress towards the record's version.
  ReplicaProgress progress = ReplicaProgress::kPending;
  /// Number of consecutive swaps to the version that failed.
  std::uint32_t failures = 0;

  friend bool operator==(const ReplicaRecord&, const ReplicaRecord&) = default;
};

/// A region's pull of the version from the weight store.
struct RegionPull {
  /// The region.
  RegionId region;
  /// The replica that was ordered to pull. Written before the order is sent,
  /// so that the next holder of the lease knows which transfers may still be in
  /// progress.
  UpstreamId seed;

  friend bool operator==(const RegionPull&, const RegionPull&) = default;
};

/// The stored record of a rollout of one model's weights. The next holder of
/// the lease uses the replicas' progress as a hint only and queries each
/// replica for the version that it has loaded.
struct RolloutRecord {
  /// The model.
  ModelName model;
  /// The version to roll out.
  WeightVersion version;
  /// Number of waves (batches of orders) so far.
  std::uint32_t wave = 0;
  /// Fencing number of the holder that wrote the record last.
  FencingNumber fencing;
  /// Id of the last write. A writer whose response was lost finds out by this
  /// id whether its write was applied.
  OperationId operation;
  /// Pulls that may be in progress.
  std::vector<RegionPull> pulls;
  /// Replicas that have loaded the version or whose last swap failed.
  std::vector<ReplicaRecord> replicas;

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

/// Returns the key of `model`'s record in the store. Thread-safe.
std::string RolloutKey(const ModelName& model);

/// Returns the stored text of the record. Thread-safe.
std::string EncodeRollout(const RolloutRecord& record);
/// Parses a stored record. Returns `kInvalidArgument` for malformed text.
/// Thread-safe.
Result<RolloutRecord> DecodeRollout(std::string_view text);

/// Requests the rollout of `version` of `model` by writing the version to the
/// record, with a few attempts at most. Idempotent. Errors: `kStale` if a later
/// version was requested before, `kConflict` if other writers won every
/// attempt, `kUnavailable` if the store is unreachable. The error's verdict
/// indicates whether the request may have been stored. Thread-safe.
Status RequestRollout(KeyValueStore& store, const ModelName& model,
                      WeightVersion version, const OperationId& operation);

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_ROLLOUT_RECORD_H_
