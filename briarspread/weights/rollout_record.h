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

/// How far a replica is with the record's version.
enum class ReplicaProgress {
  /// Not loaded yet.
  kPending,
  /// Loaded, as the replica itself reported.
  kLoaded,
  /// The last swap failed; out of rotation until one works.
  kFailed,
};

/// One replica's part of a rollout.
struct ReplicaRecord {
  /// The replica.
  UpstreamId id;
  /// How far it is.
  ReplicaProgress progress = ReplicaProgress::kPending;
  /// Swaps to the version that failed.
  std::uint32_t failures = 0;

  friend bool operator==(const ReplicaRecord&, const ReplicaRecord&) = default;
};

/// A region's pull of the version from the weight store.
struct RegionPull {
  /// The region.
  RegionId region;
  /// The replica that was ordered to pull. Written before the order is sent,
  /// so that a successor knows of bytes that may still flow.
  UpstreamId seed;

  friend bool operator==(const RegionPull&, const RegionPull&) = default;
};

/// A rollout of one model's weights, as the store holds it. It is advice to a
/// successor: what a replica has loaded is read back from the replica.
struct RolloutRecord {
  /// The model.
  ModelName model;
  /// The version to roll out.
  WeightVersion version;
  /// Batches of orders so far.
  std::uint32_t wave = 0;
  /// The fencing number of the holder that wrote last.
  FencingNumber fencing;
  /// The last write, to read back a lost answer.
  OperationId operation;
  /// Pulls that may be in progress.
  std::vector<RegionPull> pulls;
  /// Every replica that is not plainly pending.
  std::vector<ReplicaRecord> replicas;

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

/// The key of `model`'s record. Thread-safe.
std::string RolloutKey(const ModelName& model);

/// The record as it is stored. Thread-safe.
std::string EncodeRollout(const RolloutRecord& record);
/// Reads a stored record; any other text gives an error. Thread-safe.
Result<RolloutRecord> DecodeRollout(std::string_view text);

/// Asks for `version` of `model` to be rolled out, by at most a few
/// compare-and-swaps. Asking again is harmless. The error is `kStale` where a
/// later version was asked for before, `kUnavailable` where the store is out;
/// its verdict says whether the version may be taken. Thread-safe.
Status RequestRollout(KeyValueStore& store, const ModelName& model,
                      WeightVersion version, const OperationId& operation);

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_ROLLOUT_RECORD_H_
