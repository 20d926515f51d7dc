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
  /// Floors and fan-out.
  WavePlannerSettings plan;
  /// The longest that an order may take, from sending to its end.
  milliseconds longest_order{10000};
  /// The pause after a failed swap; doubles with each failure of a replica.
  milliseconds retry_base{1000};
  /// The longest pause after a failed swap.
  milliseconds retry_limit{60000};
  /// How often progress is written to the record, and the record is read.
  milliseconds checkpoint_interval{1000};
  /// How often a loaded replica is asked again what it has loaded.
  milliseconds verify_interval{60000};
};

/// What a rollout did so far.
struct RolloutCounts {
  /// Orders sent.
  std::uint64_t orders = 0;
  /// Orders that made a replica pull from the weight store.
  std::uint64_t store_pulls = 0;
  /// Swaps that failed.
  std::uint64_t failed_swaps = 0;
};

/// Rolls a model's weights out to its replicas. Whoever holds the lease drives
/// it: call `NextActions` after every event and about every 100 ms, carry the
/// actions out and report each result. Nothing here survives a change of
/// holder but the record in the store and what replicas report. Not
/// thread-safe; holds no thread.
class WeightRollout {
 public:
  /// Precondition: references outlive this object.
  WeightRollout(const WeightRolloutSettings& settings, const InstanceId& self,
                const WeightSource& source, RandomSource& random);

  /// Sets the model's replicas, as now listed.
  void SetReplicas(const std::vector<Replica>& replicas);
  /// What to do now. `lease` must be a fresh `Lease::View`.
  std::vector<RolloutAction> NextActions(TimePoint now, const LeaseView& lease);

  /// Results of actions. Those of an earlier hold of the lease do no harm.
  void OnRecord(TimePoint now, const Result<std::optional<KeyValue>>& read);
  void OnSaved(const OperationId& operation, const Result<SwapOutcome>& saved);
  void OnOrder(TimePoint now, const LoadOrder& order, OrderOutcome outcome);
  void OnVersion(TimePoint now, const UpstreamId& id,
                 const Result<WeightVersion>& version);

  /// The version being rolled out; zero for none.
  WeightVersion target() const { return target_; }
  /// Whether all replicas have loaded it.
  bool is_complete() const;
  /// Replicas out of rotation for the version, after failed swaps.
  std::vector<UpstreamId> OutOfRotation() const;
  /// What was done so far.
  const RolloutCounts& counts() const { return counts_; }
  /// The state of each replica, for status pages and tests.
  const WavePlanner& planner() const { return planner_; }

 private:
  /// What is known of a replica besides its place in the plan.
  struct Progress {
    /// Swaps to the target that failed in a row.
    std::uint32_t failures = 0;
    /// Whether the last swap failed.
    bool failed = false;
    /// Whether a question for the loaded version is in flight.
    bool asked = false;
    /// When to ask or to try again.
    TimePoint due;
  };

  void Begin(TimePoint now, const LeaseView& lease);
  bool MustWait(TimePoint now, const LeaseView& lease) const;
  void TakeTarget(TimePoint now, const RolloutRecord& record);
  void Schedule(const UpstreamId& id, TimePoint due);
  void TakeDue(TimePoint now, std::vector<RolloutAction>& actions);
  void Assign(TimePoint now, const LeaseView& lease);
  void EmitOrders(TimePoint now, const LeaseView& lease,
                  std::vector<RolloutAction>& actions);
  LoadOrder MakeOrder(const SwapAssignment& swap, const LeaseView& lease) const;
  void Checkpoint(TimePoint now, std::vector<RolloutAction>& actions);
  RolloutRecord MakeRecord() const;
  void TakeFailure(TimePoint now, const UpstreamId& id);
  void TakeLoaded(TimePoint now, const UpstreamId& id);
  milliseconds Backoff(std::uint32_t failures) const;
  std::uint64_t PullRate(const RegionId& region) const;

  const WeightRolloutSettings settings_;
  const InstanceId self_;
  const WeightSource& source_;
  RandomSource& random_;

  WavePlanner planner_;
  std::map<UpstreamId, Progress> progress_;
  /// Replicas by when they are due.
  std::set<std::pair<TimePoint, UpstreamId>> due_;
  /// Pulls to be ordered once the record that names them is stored.
  std::vector<SwapAssignment> unsaved_pulls_;
  /// Orders to be sent.
  std::vector<SwapAssignment> ready_;
  /// Pulls that may be in progress, as the record names them.
  std::map<RegionId, UpstreamId> pulls_;

  /// The fencing number that all below belongs to; zero while not holder.
  FencingNumber fencing_;
  WeightVersion target_;
  /// Batches of orders so far.
  std::uint32_t wave_ = 0;
  /// Whether no order of an earlier holder can be in flight any more.
  bool waited_ = false;
  /// The record's index, while it is known.
  std::optional<StoreIndex> index_;
  /// Whether a read or write of the record is in flight.
  bool store_busy_ = false;
  /// Whether the record was read since the lease was acquired.
  bool has_record_ = false;
  /// Whether there is progress that the record does not show.
  bool dirty_ = false;
  /// Pulls that the write in flight names.
  std::vector<SwapAssignment> saving_pulls_;
  /// The last write.
  OperationId saving_;
  /// When the store is to be called again.
  TimePoint store_due_;
  RolloutCounts counts_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_WEIGHTS_WEIGHT_ROLLOUT_H_
