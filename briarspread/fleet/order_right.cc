#include "briarspread/fleet/order_right.h"

#include <glog/logging.h>

#include <utility>

namespace briarspread {

OrderRight::OrderRight(AsyncStore& store, const InstanceRegistry& registry,
                       const OrderRightSettings& settings, const Clock& clock)
    : store_(store), registry_(registry), settings_(settings), clock_(clock) {}

bool OrderRight::IsSameMachine(const KeyValue& record) const {
  const auto json = nlohmann::json::parse(record.value, nullptr, false);
  return json.is_object() &&
         json.value("name", "") == registry_.self().name.value();
}

bool OrderRight::IsOwn(const KeyValue& record) const {
  const auto json = nlohmann::json::parse(record.value, nullptr, false);
  return IsSameMachine(record) && json.value("incarnation", std::uint64_t{0}) ==
                                      registry_.self().incarnation.value();
}

std::size_t OrderRight::Rank() const {
  std::size_t rank = 0;
  for (const InstanceRecord& peer : registry_.Peers()) {
    if (peer.name < registry_.self().name) ++rank;
  }
  return rank;
}

void OrderRight::Step() {
  if (is_calling_ || was_released_ || !registry_.has_listed()) return;
  const std::optional<KeyValue>& record = registry_.order_right();
  if (is_holder()) {
    // Known to be lost once another's record, or none, is seen.
    const bool is_own =
        record.has_value() && record->index.value() == fencing_.value();
    const bool is_older =
        record.has_value() && record->index.value() < fencing_.value();
    if (!is_own && !is_older && record.has_value()) fencing_ = {};
    return;
  }
  if (record.has_value()) {
    missing_since_ = {};
    // The start before this one is over, and its orders are this machine's.
    if (IsSameMachine(*record)) Contend(record->index, Duration(0));
    return;
  }
  const TimePoint now = clock_.Now();
  if (missing_since_ == TimePoint{}) missing_since_ = now;
  if (now - missing_since_ >= Rank() * settings_.stagger) {
    Contend(StoreIndex(0), TakeoverWait());
  }
}

void OrderRight::Contend(StoreIndex expected, Duration wait) {
  if (registry_.lease().value() == 0 || registry_.self().is_leaving) return;
  is_calling_ = true;
  const TimePoint asked = clock_.NowWithSuspension();
  StoreTransaction take;
  take.conditions.push_back({InstanceRegistry::kOrderRightKey, expected});
  const nlohmann::json value = {
      {"name", registry_.self().name.value()},
      {"incarnation", registry_.self().incarnation.value()}};
  take.writes.push_back(
      {InstanceRegistry::kOrderRightKey, value.dump(), registry_.lease()});
  store_.Commit(std::move(take), [this, asked,
                                  wait](const Result<StoreOutcome>& outcome) {
    is_calling_ = false;
    missing_since_ = clock_.Now();
    if (!IsOk(outcome)) return;
    if (const auto* done = std::get_if<StoreCommitted>(&ValueOf(outcome))) {
      TakeRecord(done->index, asked, wait);
      return;
    }
    const auto& current = std::get<StoreConflict>(ValueOf(outcome)).current;
    if (!current.empty() && IsOwn(current.front())) {
      // An earlier try whose answer was lost took effect; whose record it
      // replaced is not known.
      TakeRecord(current.front().index, asked, TakeoverWait());
    }
  });
}

void OrderRight::TakeRecord(StoreIndex index, TimePoint asked, Duration wait) {
  fencing_ = FencingNumber(index.value());
  confirmed_ = asked;
  // Counted from the answer: the one before may have been confirmed up to the
  // moment at which its record went.
  wait_until_ = clock_.NowWithSuspension() + wait;
  LOG(INFO) << "event=order_right_acquired fencing=" << fencing_;
}

bool OrderRight::MaySend() {
  if (!is_holder()) return false;
  const TimePoint now = clock_.NowWithSuspension();
  if (now < wait_until_) return false;
  if (now - confirmed_ > settings_.confirm_after) Confirm();
  return is_holder() && now - confirmed_ < settings_.confidence;
}

void OrderRight::Confirm() {
  if (is_calling_) return;
  is_calling_ = true;
  const TimePoint asked = clock_.NowWithSuspension();
  store_.Get(
      InstanceRegistry::kOrderRightKey,
      [this, asked](const Result<std::optional<KeyValue>>& read) {
        is_calling_ = false;
        if (!IsOk(read)) return;
        const auto& record = ValueOf(read);
        if (record.has_value() && record->index.value() == fencing_.value()) {
          confirmed_ = asked;
          return;
        }
        LOG(WARNING) << "event=order_right_lost fencing=" << fencing_;
        fencing_ = {};
      });
}

void OrderRight::Release() {
  was_released_ = true;
  if (!is_holder()) return;
  StoreTransaction give_up;
  give_up.conditions.push_back(
      {InstanceRegistry::kOrderRightKey, StoreIndex(fencing_.value())});
  give_up.removals.emplace_back(InstanceRegistry::kOrderRightKey);
  fencing_ = {};
  store_.Commit(std::move(give_up), [](const Result<StoreOutcome>&) {});
}

}  // namespace briarspread
