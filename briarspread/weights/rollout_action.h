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

/// Read the rollout's record from the store; answer by `OnRecord`.
struct ReadRecord {};

/// Write the rollout's record to the store; answer by `OnSaved`.
struct SaveRecord {
  /// The record's text.
  std::string value;
  /// The index at which it may replace the stored one.
  StoreIndex expected;
  /// The write, named in its answer.
  OperationId operation;
};

/// Ask a replica which version it has loaded; answer by `OnVersion`.
struct ReadVersion {
  /// The replica.
  UpstreamId id;
  Endpoint endpoint;
};

/// Order a replica to load a version; answer by `OnOrder`.
struct LoadOrder {
  /// The replica.
  UpstreamId id;
  Endpoint endpoint;
  /// The version to load.
  WeightVersion version;
  /// Refuses the order at engines that check it, once a later holder ordered.
  FencingNumber fencing;
  /// A replica of the region that has the weights; nothing for the store.
  std::optional<Endpoint> source;
  /// The most bytes a second that the load may take from the store; zero where
  /// it takes none.
  std::uint64_t bytes_per_second = 0;
  /// The order must not be sent at or after this time, nor may it take longer
  /// than `WeightRolloutSettings::longest_order`. To be checked right before
  /// the first byte is sent.
  TimePoint send_before;
};

/// What whoever drives a `WeightRollout` has to do.
using RolloutAction =
    std::variant<ReadRecord, SaveRecord, ReadVersion, LoadOrder>;

/// What came of an order.
enum class OrderOutcome {
  /// The replica says that it has loaded the version.
  kLoaded,
  /// Its time to be sent had passed, so it was not.
  kNotSent,
  /// The replica refused or failed; it does not load.
  kFailed,
  /// No answer in time; the replica may still be loading.
  kUnknown,
};

/// Carries out orders. Calls block; implementations are safe to call from any
/// thread.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  /// Sends an order and waits for its end, for `longest` at most.
  virtual OrderOutcome Order(const LoadOrder& order, milliseconds longest) = 0;
  /// Asks a replica which version it has loaded.
  virtual Result<WeightVersion> Loaded(const ReadVersion& question) = 0;
};

/// What is known of the weight store.
class WeightSource {
 public:
  virtual ~WeightSource() = default;
  /// The region that the weight store is in. Thread-safe.
  virtual RegionId Region() const = 0;
  /// Bytes a second that rollouts may take from the store. Thread-safe.
  virtual std::uint64_t StoreBytesPerSecond() const = 0;
  /// Bytes a second that rollouts may take of the link to another region.
  /// Thread-safe.
  virtual std::uint64_t LinkBytesPerSecond(const RegionId& region) const = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_ROLLOUT_ACTION_H_
