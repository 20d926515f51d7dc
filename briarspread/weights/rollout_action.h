#ifndef BRIARSPREAD_WEIGHTS_ROLLOUT_ACTION_H_
#define BRIARSPREAD_WEIGHTS_ROLLOUT_ACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "briarspread/core/clock.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// Read the rollout's record from the store and report it to
/// `WeightRollout::OnRecord`.
struct ReadRecord {};

/// Write the rollout's record to the store and report the result to
/// `WeightRollout::OnSaved`.
struct SaveRecord {
  /// The encoded record.
  std::string value;
  /// Index that the stored record must have for the write to replace it.
  StoreIndex expected;
  /// Id of the write, to be passed to `OnSaved`.
  OperationId operation;
};

/// Query which version a replica has loaded and report the result to
/// `WeightRollout::OnVersion`.
struct ReadVersion {
  /// The replica.
  UpstreamId id;
  Endpoint endpoint;
};

/// Order a replica to load a version and report the outcome to
/// `WeightRollout::OnOrder`.
struct LoadOrder {
  /// The replica.
  UpstreamId id;
  Endpoint endpoint;
  /// The version to load.
  WeightVersion version;
  /// Fencing number of the holder that sends the order. An engine that checks
  /// fencing numbers refuses the order if it has got one of a later holder.
  FencingNumber fencing;
  /// A replica of the same region to load the weights from; nothing for the
  /// weight store.
  std::optional<Endpoint> source;
  /// Maximum rate in bytes per second at which the replica may read from the
  /// weight store; zero if it loads from another replica.
  std::uint64_t bytes_per_second = 0;
  /// The order must not be sent at or after this time, to be checked right
  /// before the first byte is sent. From sending to its end it may take at most
  /// `WeightRolloutSettings::max_order_duration`.
  TimePoint send_before;
};

/// An action that the driver of a `WeightRollout` has to execute.
using RolloutAction =
    std::variant<ReadRecord, SaveRecord, ReadVersion, LoadOrder>;

/// The outcome of a `LoadOrder`.
enum class OrderOutcome {
  /// The replica reported that it has loaded the version.
  kLoaded,
  /// The order was not sent because `LoadOrder::send_before` had passed.
  kNotSent,
  /// The replica was not reached, refused the order or failed; it is not
  /// loading.
  kFailed,
  /// There was no complete response in time; the replica may still be loading.
  kUnknown,
};

/// Sends orders and queries to replicas. Calls block. Implementations are
/// thread-safe.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  /// Sends an order and waits for its end, at most for `timeout`.
  virtual OrderOutcome SendOrder(const LoadOrder& order,
                                 milliseconds timeout) = 0;
  /// Returns the version that a replica reports as loaded.
  virtual Result<WeightVersion> QueryVersion(const ReadVersion& query) = 0;
};

/// Location and rate limits of the weight store. Implementations are
/// thread-safe.
class WeightStoreInfo {
 public:
  virtual ~WeightStoreInfo() = default;
  /// The region that the weight store is in.
  virtual RegionId Region() const = 0;
  /// Bytes per second that all rollouts together may read from the store.
  virtual std::uint64_t StoreBytesPerSecond() const = 0;
  /// Bytes per second that rollouts may transfer over the link from the
  /// store's region to `region`.
  virtual std::uint64_t LinkBytesPerSecond(const RegionId& region) const = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_ROLLOUT_ACTION_H_
