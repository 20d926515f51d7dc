#include "briarspread/fleet/order_lease.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace briarspread {

OrderLease::OrderLease(AsyncStore& store, const InstanceRegistry& registry,
                       const OrderLeaseSettings& settings, const Clock& clock)
    : store_(store), registry_(registry), settings_(settings), clock_(clock) {}

std::size_t OrderLease::Rank() const {
  std::size_t rank = 0;
  for (const InstanceRecord& peer : registry_.Peers()) {
    if (peer.name < registry_.self().name) ++rank;
  }
  return rank;
}

std::optional<OrderLease::AcquisitionPlan> OrderLease::PlanAcquisition(
    const std::string& record) const {
  const AcquisitionPlan plan_after_unknown{false, TakeoverWait(), std::nullopt};
  const auto previous = ParseOrderLeaseRecord(record);
  if (!previous.has_value()) return plan_after_unknown;
  const InstanceId& self = registry_.self().name;
  // No other instance has sent an order since this one's latest order, which an
  // earlier start of the program may have sent.
  if (previous->last_sender == self) {
    return AcquisitionPlan{true, Duration(0), previous->last_sender};
  }
  if (previous->holder == self) {
    return AcquisitionPlan{true, previous->wait, previous->last_sender};
  }
  if (!previous->holder.has_value()) {
    return AcquisitionPlan{false, previous->wait, previous->last_sender};
  }
  if (registry_.instances().contains(*previous->holder)) return std::nullopt;
  return AcquisitionPlan{false, TakeoverWait(), previous->last_sender};
}

void OrderLease::StepDownIfReplaced(const std::optional<KeyValue>& lease) {
  // The watch may lag: an earlier record or none does not mean that the lease
  // is lost.
  if (lease.has_value() && lease->index.value() > fencing_.value()) StepDown();
}

void OrderLease::Step() {
  if (is_call_in_flight_ || was_released_ || !registry_.has_listed()) return;
  const std::optional<KeyValue>& record = registry_.order_lease_record();
  if (is_holder()) {
    StepDownIfReplaced(record);
    if (is_holder() && !is_eligible_) Yield();
    return;
  }
  if (!is_eligible_) {
    free_since_ = {};
    return;
  }
  const std::optional<AcquisitionPlan> plan =
      record.has_value() ? PlanAcquisition(record->value)
                         : AcquisitionPlan{false, TakeoverWait(), std::nullopt};
  if (!plan.has_value()) {
    free_since_ = {};
    return;
  }
  if (!plan->skips_stagger && !HasStaggerElapsed()) return;
  TryAcquire(record.has_value() ? record->index : StoreIndex(0), *plan);
}

bool OrderLease::HasStaggerElapsed() {
  const TimePoint now = clock_.Now();
  if (free_since_ == TimePoint{}) free_since_ = now;
  return now - free_since_ >= Rank() * settings_.stagger;
}

void OrderLease::TryAcquire(StoreIndex expected, AcquisitionPlan plan) {
  if (registry_.lease().value() == 0 || registry_.self().is_leaving) return;
  is_call_in_flight_ = true;
  // A holder without a wait may send as soon as it has written the record.
  if (plan.wait == Duration(0)) plan.last_sender = registry_.self().name;
  const TimePoint asked_at = clock_.NowWithSuspension();
  OrderLeaseRecord record;
  record.holder = registry_.self().name;
  record.incarnation = registry_.self().incarnation;
  record.wait = std::chrono::ceil<milliseconds>(plan.wait);
  record.last_sender = plan.last_sender;
  StoreTransaction acquire;
  acquire.conditions.push_back({InstanceRegistry::kOrderLeaseKey, expected});
  // Not attached to a store lease: `last_sender` must remain known after that
  // instance's registration has expired.
  acquire.writes.push_back(
      {InstanceRegistry::kOrderLeaseKey, Encode(record), StoreLeaseId()});
  store_.Commit(std::move(acquire),
                [this, asked_at, plan](const Result<StoreOutcome>& outcome) {
                  OnTryAcquireDone(outcome, asked_at, plan);
                });
}

void OrderLease::OnTryAcquireDone(const Result<StoreOutcome>& outcome,
                                  TimePoint asked_at,
                                  const AcquisitionPlan& plan) {
  is_call_in_flight_ = false;
  free_since_ = clock_.Now();
  if (!IsOk(outcome)) return;
  if (const auto* done = std::get_if<StoreCommitted>(&ValueOf(outcome))) {
    BecomeHolder(done->index, asked_at, plan);
    return;
  }
  const auto& current = std::get<StoreConflict>(ValueOf(outcome)).current;
  const auto record = current.empty()
                          ? std::nullopt
                          : ParseOrderLeaseRecord(current.front().value);
  const bool is_own = record.has_value() &&
                      record->holder == registry_.self().name &&
                      record->incarnation == registry_.self().incarnation;
  if (is_own) {
    // An earlier attempt whose answer was lost has succeeded.
    BecomeHolder(current.front().index, asked_at,
                 AcquisitionPlan{true, record->wait, record->last_sender});
  } else if (is_holder()) {
    StepDown();
  }
}

void OrderLease::BecomeHolder(StoreIndex index, TimePoint asked_at,
                              const AcquisitionPlan& plan) {
  fencing_ = FencingNumber(index.value());
  confirmed_at_ = asked_at;
  // Counted from the answer, not from the request: the store may have confirmed
  // the previous holder until the moment its record was replaced.
  wait_until_ = clock_.NowWithSuspension() + plan.wait;
  is_wait_cleared_ = plan.wait == Duration(0);
  last_sender_ = plan.last_sender;
  LOG(INFO) << "event=order_right_acquired fencing=" << fencing_ << " wait_ms="
            << std::chrono::duration_cast<milliseconds>(plan.wait).count()
            << " last_sender="
            << (plan.last_sender.has_value() ? plan.last_sender->value() : "-");
}

void OrderLease::RecordOrderSent() {
  last_sent_at_ = clock_.NowWithSuspension();
}

void OrderLease::Reconfirm() {
  if (is_holder()) Confirm();
}

bool OrderLease::MaySend() {
  if (!is_holder() || !is_eligible_) return false;
  const TimePoint now = clock_.NowWithSuspension();
  if (now < wait_until_) return false;
  if (!is_wait_cleared_) {
    // Before the first order, the record has to name this instance as the last
    // sender and its wait as zero.
    if (!is_call_in_flight_) {
      TryAcquire(StoreIndex(fencing_.value()),
                 AcquisitionPlan{true, Duration(0), last_sender_});
    }
    return false;
  }
  if (now - confirmed_at_ > settings_.confirm_after) Confirm();
  return is_holder() && now - confirmed_at_ < settings_.confirmation_validity;
}

void OrderLease::Confirm() {
  if (is_call_in_flight_) return;
  is_call_in_flight_ = true;
  const TimePoint asked_at = clock_.NowWithSuspension();
  store_.Get(
      InstanceRegistry::kOrderLeaseKey,
      [this, asked_at](const Result<std::optional<KeyValue>>& read) {
        is_call_in_flight_ = false;
        if (!IsOk(read)) return;
        const auto& record = ValueOf(read);
        if (record.has_value() && record->index.value() == fencing_.value()) {
          confirmed_at_ = asked_at;
          return;
        }
        StepDown();
      });
}

void OrderLease::StepDown() {
  LOG(WARNING) << "event=order_right_lost fencing=" << fencing_;
  fencing_ = {};
}

void OrderLease::WriteRelease(
    std::function<void(const Result<StoreOutcome>&)> done) {
  TimePoint free_from = wait_until_;
  if (last_sent_at_ != TimePoint{}) {
    free_from = std::max(free_from, last_sent_at_ + HandoverGap());
  }
  const Duration remaining_wait =
      std::max<Duration>(Duration(0), free_from - clock_.NowWithSuspension());
  OrderLeaseRecord record;
  record.wait = std::chrono::ceil<milliseconds>(remaining_wait);
  record.last_sender = last_sender_;
  StoreTransaction release;
  release.conditions.push_back(
      {InstanceRegistry::kOrderLeaseKey, StoreIndex(fencing_.value())});
  release.writes.push_back(
      {InstanceRegistry::kOrderLeaseKey, Encode(record), StoreLeaseId()});
  store_.Commit(std::move(release), std::move(done));
}

void OrderLease::Yield() {
  is_call_in_flight_ = true;
  WriteRelease([this](const Result<StoreOutcome>& outcome) {
    is_call_in_flight_ = false;
    if (!IsOk(outcome)) {
      LOG(WARNING) << "event=order_right_not_yielded fencing=" << fencing_;
      return;
    }
    LOG(INFO) << "event=order_right_yielded fencing=" << fencing_;
    // After a conflict the record is another's, or this release's own, whose
    // first answer was lost.
    fencing_ = {};
  });
}

void OrderLease::Release() {
  was_released_ = true;
  if (!is_holder()) return;
  WriteRelease([](const Result<StoreOutcome>& outcome) {
    // If the write failed, others take over once this registration has expired.
    const bool is_done =
        IsOk(outcome) &&
        std::holds_alternative<StoreCommitted>(ValueOf(outcome));
    LOG(INFO) << "event=order_right_released done=" << is_done;
  });
  fencing_ = {};
}

}  // namespace briarspread
