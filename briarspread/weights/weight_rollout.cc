#include "briarspread/weights/weight_rollout.h"

#include <algorithm>
#include <utility>

namespace briarspread {

WeightRollout::WeightRollout(const WeightRolloutSettings& settings,
                             const InstanceId& self,
                             const WeightStoreInfo& store_info,
                             RandomSource& random)
    : settings_(settings),
      self_(self),
      store_info_(store_info),
      random_(random),
      planner_(settings.plan) {}

void WeightRollout::SetReplicas(const std::vector<Replica>& replicas) {
  planner_.SetReplicas(replicas);
  for (auto it = progress_.begin(); it != progress_.end();) {
    if (planner_.Find(it->first) != nullptr) {
      ++it;
      continue;
    }
    due_.erase({it->second.due, it->first});
    it = progress_.erase(it);
  }
  for (const Replica& replica : replicas) {
    // The version loaded by a new replica is queried immediately.
    if (!progress_.contains(replica.id)) Schedule(replica.id, TimePoint::min());
  }
}

std::vector<RolloutAction> WeightRollout::NextActions(TimePoint now,
                                                      const LeaseView& lease) {
  std::vector<RolloutAction> actions;
  if (!lease.is_held) {
    fencing_ = FencingNumber(0);
    return actions;
  }
  if (lease.fencing != fencing_) ResetState(now, lease);
  Checkpoint(now, actions);
  if (!has_record_ || target_ == WeightVersion(0)) return actions;
  if (!is_wait_over_) {
    if (ShouldWait(now, lease)) return actions;
    is_wait_over_ = true;
    pulls_.clear();
  }
  ProcessDue(now, actions);
  Assign(now, lease);
  EmitOrders(now, lease, actions);
  return actions;
}

void WeightRollout::ResetState(TimePoint now, const LeaseView& lease) {
  fencing_ = lease.fencing;
  target_ = WeightVersion(0);
  is_wait_over_ = false;
  index_.reset();
  is_store_busy_ = false;
  has_record_ = false;
  is_dirty_ = false;
  store_due_ = now;
  pulls_.clear();
  unsaved_pulls_.clear();
  written_pulls_.clear();
  ready_swaps_.clear();
  due_.clear();
  for (auto& [id, progress] : progress_) {
    progress = Progress{};
    planner_.SetState(id, SwapState::kOut);
    Schedule(id, TimePoint::min());
  }
}

bool WeightRollout::ShouldWait(TimePoint now, const LeaseView& lease) const {
  if (lease.after_release) return false;
  if (now >= lease.acquired_at + settings_.max_order_duration) return false;
  // Pulls of two holders at once could exceed the rate limits of the store
  // and the links.
  if (!pulls_.empty()) return true;
  return std::any_of(progress_.begin(), progress_.end(),
                     [this](const auto& it) {
                       const Replica* replica = planner_.Find(it.first);
                       return replica != nullptr && !replica->checks_fencing;
                     });
}

void WeightRollout::Schedule(const UpstreamId& id, TimePoint due) {
  Progress& progress = progress_[id];
  due_.erase({progress.due, id});
  progress.due = due;
  due_.insert({due, id});
}

void WeightRollout::ProcessDue(TimePoint now,
                               std::vector<RolloutAction>& actions) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const UpstreamId id = due_.begin()->second;
    due_.erase(due_.begin());
    Progress& progress = progress_[id];
    const SwapState state = planner_.State(id);
    if (state == SwapState::kOut && progress.has_failed) {
      planner_.SetState(id, SwapState::kRetry);
      continue;
    }
    if (progress.is_query_in_flight || state == SwapState::kPending) continue;
    progress.is_query_in_flight = true;
    actions.push_back(ReadVersion{id, planner_.Find(id)->endpoint});
  }
}

void WeightRollout::Assign(TimePoint now, const LeaseView& lease) {
  // An order must end before another instance can acquire the lease.
  if (now + settings_.max_order_duration >= lease.held_until) return;
  const std::vector<SwapAssignment> swaps = planner_.NextAssignments();
  if (swaps.empty()) return;
  ++wave_;
  for (const SwapAssignment& swap : swaps) {
    Progress& progress = progress_[swap.id];
    due_.erase({progress.due, swap.id});
    // The response to a query in flight dates from before the order.
    progress.is_query_in_flight = false;
    if (swap.source.has_value()) {
      ready_swaps_.push_back(swap);
      continue;
    }
    unsaved_pulls_.push_back(swap);
    pulls_[planner_.Find(swap.id)->locality.region] = swap.id;
    is_dirty_ = true;
    store_due_ = std::min(store_due_, now);
  }
}

void WeightRollout::EmitOrders(TimePoint now, const LeaseView& lease,
                               std::vector<RolloutAction>& actions) {
  if (now + settings_.max_order_duration >= lease.held_until) return;
  for (const SwapAssignment& swap : std::exchange(ready_swaps_, {})) {
    if (planner_.State(swap.id) != SwapState::kLoading) continue;
    ++counts_.orders;
    if (!swap.source.has_value()) ++counts_.store_pulls;
    LoadOrder order = MakeOrder(swap, lease);
    // If no outcome is reported, the replica's version is queried when the
    // order must have ended, even if it was sent just before `send_before`.
    Schedule(swap.id, order.send_before + settings_.max_order_duration);
    actions.emplace_back(std::in_place_type<LoadOrder>, std::move(order));
  }
}

std::uint64_t WeightRollout::PullRate(const RegionId& region) const {
  const std::uint64_t share = store_info_.StoreBytesPerSecond() /
                              std::max<std::uint64_t>(1, planner_.regions());
  if (region == store_info_.Region()) return share;
  return std::min(share, store_info_.LinkBytesPerSecond(region));
}

LoadOrder WeightRollout::MakeOrder(const SwapAssignment& swap,
                                   const LeaseView& lease) const {
  const Replica& replica = *planner_.Find(swap.id);
  LoadOrder order;
  order.id = swap.id;
  order.endpoint = replica.endpoint;
  order.version = target_;
  order.fencing = lease.fencing;
  if (swap.source.has_value()) {
    const Replica* source = planner_.Find(*swap.source);
    if (source != nullptr) order.source = source->endpoint;
  }
  if (!order.source.has_value()) {
    order.bytes_per_second = PullRate(replica.locality.region);
  }
  order.send_before = lease.held_until - settings_.max_order_duration;
  return order;
}

void WeightRollout::OnOrder(TimePoint now, const LoadOrder& order,
                            OrderOutcome outcome) {
  if (order.fencing != fencing_) return;
  if (planner_.State(order.id) != SwapState::kLoading) return;
  if (outcome == OrderOutcome::kUnknown) {
    // The replica may still be loading, possibly from the store, so it stays
    // in state `kLoading` until the order must have ended.
    Schedule(order.id, now + settings_.max_order_duration);
    return;
  }
  const RegionId& region = planner_.Find(order.id)->locality.region;
  const auto pull = pulls_.find(region);
  if (pull != pulls_.end() && pull->second == order.id) pulls_.erase(pull);
  is_dirty_ = true;
  if (outcome == OrderOutcome::kFailed) {
    HandleFailure(now, order.id);
  } else if (outcome == OrderOutcome::kNotSent) {
    const bool failed = progress_[order.id].has_failed;
    planner_.SetState(order.id,
                      failed ? SwapState::kRetry : SwapState::kPending);
  } else if (order.version == target_) {
    MarkLoaded(now, order.id);
  } else {
    planner_.SetState(order.id, SwapState::kPending);
  }
}

void WeightRollout::HandleFailure(TimePoint now, const UpstreamId& id) {
  ++counts_.failed_swaps;
  Progress& progress = progress_[id];
  progress.has_failed = true;
  ++progress.failures;
  planner_.SetState(id, SwapState::kOut);
  Schedule(id, now + Backoff(progress.failures));
  is_dirty_ = true;
}

void WeightRollout::MarkLoaded(TimePoint now, const UpstreamId& id) {
  Progress& progress = progress_[id];
  progress.has_failed = false;
  progress.failures = 0;
  planner_.SetState(id, SwapState::kLoaded);
  Schedule(id, now + settings_.verify_interval);
}

milliseconds WeightRollout::Backoff(std::uint32_t failures) const {
  milliseconds backoff = settings_.initial_backoff;
  for (std::uint32_t i = 1; i < failures && backoff < settings_.max_backoff;
       ++i) {
    backoff *= 2;
  }
  return std::min(backoff, settings_.max_backoff);
}

void WeightRollout::OnVersion(TimePoint now, const UpstreamId& id,
                              const Result<WeightVersion>& version) {
  const auto it = progress_.find(id);
  if (it == progress_.end() || !it->second.is_query_in_flight) return;
  it->second.is_query_in_flight = false;
  const SwapState state = planner_.State(id);
  if (state == SwapState::kPending || state == SwapState::kRetry) return;
  if (state == SwapState::kLoading) {
    const auto pull = pulls_.find(planner_.Find(id)->locality.region);
    if (pull != pulls_.end() && pull->second == id) pulls_.erase(pull);
  }
  if (!IsOk(version)) {
    planner_.SetState(id, SwapState::kOut);
    Schedule(id, now + settings_.initial_backoff);
    return;
  }
  if (ValueOf(version) >= target_) {
    MarkLoaded(now, id);
    return;
  }
  if (state == SwapState::kLoading) {
    HandleFailure(now, id);
    return;
  }
  planner_.SetState(id, SwapState::kPending);
}

RolloutRecord WeightRollout::MakeRecord() const {
  RolloutRecord record;
  record.model = settings_.model;
  record.version = target_;
  record.wave = wave_;
  record.fencing = fencing_;
  for (const auto& [region, seed] : pulls_) {
    record.pulls.push_back({region, seed});
  }
  for (const auto& [id, progress] : progress_) {
    ReplicaRecord replica;
    replica.id = id;
    replica.failures = progress.failures;
    const bool loaded = planner_.State(id) == SwapState::kLoaded;
    if (!loaded && !progress.has_failed) continue;
    replica.progress =
        loaded ? ReplicaProgress::kLoaded : ReplicaProgress::kFailed;
    record.replicas.push_back(std::move(replica));
  }
  return record;
}

void WeightRollout::Checkpoint(TimePoint now,
                               std::vector<RolloutAction>& actions) {
  if (is_store_busy_ || now < store_due_) return;
  is_store_busy_ = true;
  store_due_ = now + settings_.checkpoint_interval;
  const bool may_write = index_.has_value() && is_dirty_ && is_wait_over_;
  if (!may_write) {
    actions.emplace_back(std::in_place_type<ReadRecord>);
    return;
  }
  RolloutRecord record = MakeRecord();
  last_write_ =
      OperationId(self_.value() + "-" + std::to_string(random_.Next()));
  record.operation = last_write_;
  written_pulls_ = std::exchange(unsaved_pulls_, {});
  is_dirty_ = false;
  auto& save = std::get<SaveRecord>(
      actions.emplace_back(std::in_place_type<SaveRecord>));
  save = SaveRecord{EncodeRollout(record), *index_, last_write_};
  index_.reset();
}

void WeightRollout::OnSaved(const OperationId& operation,
                            const Result<SwapOutcome>& saved) {
  if (operation != last_write_) return;
  is_store_busy_ = false;
  if (IsOk(saved) && ValueOf(saved) == SwapOutcome::kSwapped) {
    ready_swaps_.insert(ready_swaps_.end(), written_pulls_.begin(),
                        written_pulls_.end());
    written_pulls_.clear();
    return;
  }
  // After a conflict or a lost response, the record is read immediately; pulls
  // are not ordered before that.
  store_due_ = TimePoint::min();
}

void WeightRollout::OnRecord(TimePoint now,
                             const Result<std::optional<KeyValue>>& read) {
  is_store_busy_ = false;
  if (!IsOk(read)) return;
  const auto& stored = ValueOf(read);
  if (!stored.has_value()) return;
  const auto record = DecodeRollout(stored->value);
  if (!IsOk(record)) return;
  // A later holder wrote the record, so this instance has lost the lease even
  // if it has not expired by this instance's clock.
  if (ValueOf(record).fencing > fencing_) return;
  index_ = stored->index;
  if (!written_pulls_.empty()) {
    const bool is_saved = ValueOf(record).operation == last_write_;
    auto& queue = is_saved ? ready_swaps_ : unsaved_pulls_;
    queue.insert(queue.end(), written_pulls_.begin(), written_pulls_.end());
    written_pulls_.clear();
    is_dirty_ = is_dirty_ || !is_saved;
  }
  if (!unsaved_pulls_.empty()) store_due_ = now;
  ApplyRecord(now, ValueOf(record));
}

void WeightRollout::ApplyRecord(TimePoint now, const RolloutRecord& record) {
  const bool is_first = !has_record_;
  has_record_ = true;
  if (is_first) {
    wave_ = record.wave;
    for (const RegionPull& it : record.pulls) pulls_[it.region] = it.seed;
    for (const ReplicaRecord& it : record.replicas) {
      const auto known = progress_.find(it.id);
      if (known == progress_.end()) continue;
      known->second.failures = it.failures;
    }
  }
  if (record.version <= target_) return;
  target_ = record.version;
  if (is_first) return;
  for (auto& [id, progress] : progress_) {
    const SwapState state = planner_.State(id);
    progress.failures = 0;
    if (state == SwapState::kLoaded) {
      planner_.SetState(id, SwapState::kPending);
    } else if (progress.has_failed && state == SwapState::kOut) {
      Schedule(id, now);
    }
  }
  is_dirty_ = true;
}

bool WeightRollout::is_complete() const {
  return fencing_ != FencingNumber(0) && target_ != WeightVersion(0) &&
         planner_.size() > 0 && planner_.loaded() == planner_.size();
}

std::vector<UpstreamId> WeightRollout::OutOfRotation() const {
  std::vector<UpstreamId> out;
  for (const auto& [id, progress] : progress_) {
    if (progress.has_failed) out.push_back(id);
  }
  return out;
}

}  // namespace briarspread
