#ifndef BRIARSPREAD_WEIGHTS_WEIGHT_ROLLOUT_H_
#define BRIARSPREAD_WEIGHTS_WEIGHT_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/weights/lease.h"
#include "briarspread/weights/rollout_action.h"
#include "briarspread/weights/rollout_record.h"
#include "briarspread/weights/wave_planner.h"

namespace briarspread {

/// Settings of `WeightRollout`.
struct WeightRolloutSettings {
  /// The model whose weights are rolled out.
  ModelName model;
  /// Floors of serving replicas and fan-out of transfers.
  WavePlannerSettings plan;
  /// Maximum duration of an order, from sending to its end.
  milliseconds max_order_duration{10000};
  /// Backoff of a replica after its first failed swap; doubles with each
  /// further consecutive failure.
  milliseconds initial_backoff{1000};
  /// Maximum backoff after a failed swap.
  milliseconds max_backoff{60000};
  /// Interval at which the record is written if there is new progress, or read
  /// otherwise.
  milliseconds checkpoint_interval{1000};
  /// Interval at which the loaded version of a loaded replica is queried again.
  milliseconds verify_interval{60000};
};

/// Counts of the actions of a `WeightRollout` since it was created.
struct RolloutCounts {
  /// Orders issued.
  std::uint64_t orders = 0;
  /// Orders issued to load from the weight store.
  std::uint64_t store_pulls = 0;
  /// Swaps that failed.
  std::uint64_t failed_swaps = 0;
};

/// Rolls a model's weights out to its replicas. The instance that holds the
/// lease drives the rollout: it calls `NextActions` after every event and about
/// every 100 ms, executes the actions and reports each result. When the holder
/// changes, the next one restores the state from the record in the store and
/// from the versions that replicas report. Not thread-safe; starts no threads.
class WeightRollout {
 public:
  /// Precondition: references outlive this object.
  WeightRollout(const WeightRolloutSettings& settings, const InstanceId& self,
                const WeightStoreInfo& store_info, RandomSource& random);

  /// Sets the model's replicas to those in the current list.
  void SetReplicas(const std::vector<Replica>& replicas);
  /// Returns the actions to execute now; none unless the lease is held.
  /// `lease` must be a current `Lease::View`.
  std::vector<RolloutAction> NextActions(TimePoint now, const LeaseView& lease);

  /// Called with the results of actions. Results of actions from before the
  /// lease was acquired again may be reported and have no ill effect.
  void OnRecord(TimePoint now, const Result<std::optional<KeyValue>>& read);
  void OnSaved(const OperationId& operation, const Result<SwapOutcome>& saved);
  void OnOrder(TimePoint now, const LoadOrder& order, OrderOutcome outcome);
  void OnVersion(TimePoint now, const UpstreamId& id,
                 const Result<WeightVersion>& version);

  /// The version being rolled out; zero if there is none.
  WeightVersion target() const { return target_; }
  /// Whether this instance holds the lease and all replicas have loaded the
  /// target version.
  bool is_complete() const;
  /// Returns the replicas that are out of rotation because their last swap
  /// failed.
  std::vector<UpstreamId> OutOfRotation() const;
  const RolloutCounts& counts() const { return counts_; }
  /// Gives access to the state of each replica, for status pages and tests.
  const WavePlanner& planner() const { return planner_; }

 private:
  /// State of a replica besides its `SwapState`.
  struct Progress {
    /// Number of consecutive swaps to the target version that failed.
    std::uint32_t failures = 0;
    /// Whether the last swap failed.
    bool has_failed = false;
    /// Whether a query of the loaded version is in flight.
    bool is_query_in_flight = false;
    /// When to query the loaded version or to retry a failed swap.
    TimePoint due;
  };

  /// Resets the state after the lease was acquired.
  void ResetState(TimePoint now, const LeaseView& lease);
  /// Whether orders of an earlier holder may still be in flight and must not
  /// overlap with those of this one.
  bool ShouldWait(TimePoint now, const LeaseView& lease) const;
  /// Applies a record that was read: the target version and, at the first read
  /// since the lease was acquired, progress of earlier holders.
  void ApplyRecord(TimePoint now, const RolloutRecord& record);
  /// Sets the time at which the replica is due for a query or a retry.
  void Schedule(const UpstreamId& id, TimePoint due);
  /// Makes failed swaps that are due retryable and queries the versions of the
  /// other replicas that are due.
  void ProcessDue(TimePoint now, std::vector<RolloutAction>& actions);
  void Assign(TimePoint now, const LeaseView& lease);
  /// Issues the orders of the assignments that are ready.
  void EmitOrders(TimePoint now, const LeaseView& lease,
                  std::vector<RolloutAction>& actions);
  LoadOrder MakeOrder(const SwapAssignment& swap, const LeaseView& lease) const;
  /// Reads or writes the record if that is due.
  void Checkpoint(TimePoint now, std::vector<RolloutAction>& actions);
  RolloutRecord MakeRecord() const;
  void HandleFailure(TimePoint now, const UpstreamId& id);
  void MarkLoaded(TimePoint now, const UpstreamId& id);
  milliseconds Backoff(std::uint32_t failures) const;
  /// Returns the bytes per second at which one replica of `region` may pull
  /// from the weight store.
  std::uint64_t PullRate(const RegionId& region) const;

  const WeightRolloutSettings settings_;
  const InstanceId self_;
  const WeightStoreInfo& store_info_;
  RandomSource& random_;

  WavePlanner planner_;
  std::map<UpstreamId, Progress> progress_;
  /// Replicas ordered by `Progress::due`.
  std::set<std::pair<TimePoint, UpstreamId>> due_;
  /// Assigned pulls whose orders wait until the record that names them is
  /// stored.
  std::vector<SwapAssignment> unsaved_pulls_;
  /// Assignments whose orders can be issued.
  std::vector<SwapAssignment> ready_swaps_;
  /// Pulls from the weight store that may be in progress, by region.
  std::map<RegionId, UpstreamId> pulls_;

  /// Fencing number of the lease that the state belongs to; zero while this
  /// instance is not the holder.
  FencingNumber fencing_;
  WeightVersion target_;
  /// Number of waves (batches of orders) so far.
  std::uint32_t wave_ = 0;
  /// Whether the wait for orders of earlier holders is over.
  bool is_wait_over_ = false;
  /// The record's index; nothing if it must be read before the next write.
  std::optional<StoreIndex> index_;
  /// Whether a read or write of the record is in flight.
  bool is_store_busy_ = false;
  /// Whether the record was read since the lease was acquired.
  bool has_record_ = false;
  /// Whether there is progress that is not in the record.
  bool is_dirty_ = false;
  /// Pulls named in the last write, until its outcome is known.
  std::vector<SwapAssignment> written_pulls_;
  /// Id of the last write.
  OperationId last_write_;
  /// When to read or write the record next.
  TimePoint store_due_;
  RolloutCounts counts_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_WEIGHT_ROLLOUT_H_
