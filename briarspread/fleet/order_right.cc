#include "briarspread/fleet/order_right.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace briarspread {
namespace {

/// In the record of a right that was given up: milliseconds that the next
/// holder waits still.
constexpr char kReleasedField[] = "released_wait_ms";
/// In the record of a holder: milliseconds that it waits before its first
/// order, so that a later start of it on the same machine waits them too.
constexpr char kWaitField[] = "wait_ms";

}  // namespace

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

Duration OrderRight::WaitOf(const KeyValue& record) {
  const auto json = nlohmann::json::parse(record.value, nullptr, false);
  return milliseconds(json.value(kWaitField, std::int64_t{0}));
}

std::optional<Duration> OrderRight::WaitAfterRelease(const KeyValue& record) {
  const auto json = nlohmann::json::parse(record.value, nullptr, false);
  if (!json.is_object() || !json.contains(kReleasedField)) return std::nullopt;
  return milliseconds(json.value(kReleasedField, std::int64_t{0}));
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
    if (!is_own && !is_older && record.has_value()) Lose();
    return;
  }
  if (record.has_value()) {
    if (const auto wait = WaitAfterRelease(*record); wait.has_value()) {
      ContendInTurn(record->index, *wait);
      return;
    }
    missing_since_ = {};
    // The start before this one is over, and its orders are this machine's.
    if (IsSameMachine(*record)) Contend(record->index, WaitOf(*record));
    return;
  }
  ContendInTurn(StoreIndex(0), TakeoverWait());
}

void OrderRight::ContendInTurn(StoreIndex expected, Duration wait) {
  const TimePoint now = clock_.Now();
  if (missing_since_ == TimePoint{}) missing_since_ = now;
  if (now - missing_since_ >= Rank() * settings_.stagger) {
    Contend(expected, wait);
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
      {"incarnation", registry_.self().incarnation.value()},
      {kWaitField, std::chrono::ceil<milliseconds>(wait).count()}};
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
      // An earlier try whose answer was lost took effect.
      TakeRecord(current.front().index, asked, WaitOf(current.front()));
      return;
    }
    if (is_holder()) Lose();
  });
}

void OrderRight::TakeRecord(StoreIndex index, TimePoint asked, Duration wait) {
  fencing_ = FencingNumber(index.value());
  confirmed_ = asked;
  // Counted from the answer: the one before may have been confirmed up to the
  // moment at which its record went.
  wait_until_ = clock_.NowWithSuspension() + wait;
  is_settled_ = wait == Duration(0);
  LOG(INFO) << "event=order_right_acquired fencing=" << fencing_ << " wait_ms="
            << std::chrono::duration_cast<milliseconds>(wait).count();
}

void OrderRight::NoteSent() { last_sent_ = clock_.NowWithSuspension(); }

void OrderRight::Doubt() {
  if (is_holder()) Confirm();
}

bool OrderRight::MaySend() {
  if (!is_holder()) return false;
  const TimePoint now = clock_.NowWithSuspension();
  if (now < wait_until_) return false;
  if (!is_settled_) {
    // The record is to say that nothing is left to be waited.
    if (!is_calling_) Contend(StoreIndex(fencing_.value()), Duration(0));
    return false;
  }
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
        Lose();
      });
}

void OrderRight::Lose() {
  LOG(WARNING) << "event=order_right_lost fencing=" << fencing_;
  fencing_ = {};
}

void OrderRight::Release() {
  was_released_ = true;
  if (!is_holder()) return;
  TimePoint free_from = wait_until_;
  if (last_sent_ != TimePoint{}) {
    free_from = std::max(free_from, last_sent_ + BetweenHolders());
  }
  const Duration left =
      std::max<Duration>(Duration(0), free_from - clock_.NowWithSuspension());
  const nlohmann::json value = {
      {kReleasedField, std::chrono::ceil<milliseconds>(left).count()}};
  StoreTransaction give_up;
  give_up.conditions.push_back(
      {InstanceRegistry::kOrderRightKey, StoreIndex(fencing_.value())});
  // Without a lease: it outlives the machine that wrote it.
  give_up.writes.push_back(
      {InstanceRegistry::kOrderRightKey, value.dump(), StoreLeaseId()});
  fencing_ = {};
  store_.Commit(std::move(give_up), [](const Result<StoreOutcome>& outcome) {
    // Otherwise the record goes with this machine's lease.
    const bool is_done =
        IsOk(outcome) &&
        std::holds_alternative<StoreCommitted>(ValueOf(outcome));
    LOG(INFO) << "event=order_right_released done=" << is_done;
  });
}

}  // namespace briarspread
