#include "briarspread/weights/lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread {

using Json = nlohmann::json;

namespace {

/// Upper limit of the duration read from a record.
constexpr milliseconds kMaxDuration{10 * 60 * 1000};

}  // namespace

void to_json(Json& json, const LeaseRecord& record) {
  json = Json{{"holder", record.holder.value()},
              {"incarnation", record.incarnation.value()},
              {"fencing", record.fencing.value()},
              {"duration_ms", record.duration.count()},
              {"released", record.released},
              {"operation", record.operation.value()}};
}

void from_json(const Json& json, LeaseRecord& record) {
  record.holder = InstanceId(json.at("holder").get<std::string>());
  record.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  record.fencing = FencingNumber(json.at("fencing").get<std::uint64_t>());
  record.duration = milliseconds(json.at("duration_ms").get<std::int64_t>());
  record.released = json.at("released").get<bool>();
  record.operation = OperationId(json.at("operation").get<std::string>());
}

Lease::Lease(const LeaseSettings& settings, const InstanceId& self,
             Incarnation incarnation, KeyValueStore& store, const Clock& clock,
             RandomSource& random)
    : settings_(settings),
      self_(self),
      incarnation_(incarnation),
      store_(store),
      clock_(clock),
      random_(random) {
  assert(settings_.margin < settings_.duration);
}

bool Lease::IsHeldAt(TimePoint now) const {
  return is_holder_ && now < view_.held_until;
}

LeaseView Lease::View() const {
  LeaseView view = view_;
  view.is_held = IsHeldAt(clock_.Now());
  return view;
}

void Lease::Step() {
  if (pending_.has_value()) {
    ResolvePending();
    return;
  }
  const TimePoint now = clock_.Now();
  if (IsHeldAt(now)) {
    if (now >= renew_at_) Renew();
    return;
  }
  is_holder_ = false;
  if (RefreshRecord()) TryAcquire(now);
}

bool Lease::RefreshRecord() {
  const auto read = store_.Get(settings_.key);
  if (!IsOk(read)) return false;
  const auto& stored = ValueOf(read);
  const StoreIndex index = stored.has_value() ? stored->index : StoreIndex(0);
  if (index != record_index_) {
    record_index_ = index;
    unchanged_since_ = clock_.Now();
  }
  record_.reset();
  if (!stored.has_value()) return true;
  // A record that cannot be parsed is treated as one with the duration of the
  // settings, so it is replaced after that time.
  LeaseRecord record;
  record.duration = settings_.duration;
  try {
    record = Json::parse(stored->value).get<LeaseRecord>();
  } catch (const Json::exception&) {
    record.duration = settings_.duration;
  }
  record.duration = std::clamp(record.duration, milliseconds(0), kMaxDuration);
  record_ = record;
  return true;
}

void Lease::ResolvePending() {
  if (!RefreshRecord()) return;
  const PendingWrite pending = *std::exchange(pending_, std::nullopt);
  if (record_.has_value() && record_->operation == pending.record.operation) {
    ApplyWrite(pending);
  }
}

void Lease::Renew() {
  if (!RefreshRecord()) return;
  if (!record_.has_value() || record_->fencing != view_.fencing) {
    is_holder_ = false;
    return;
  }
  PendingWrite write;
  write.record = *record_;
  write.record.duration = settings_.duration;
  write.after_release = view_.after_release;
  Write(std::move(write));
}

void Lease::TryAcquire(TimePoint now) {
  PendingWrite write;
  write.record.holder = self_;
  write.record.incarnation = incarnation_;
  write.record.fencing = FencingNumber(1);
  write.record.duration = settings_.duration;
  write.after_release = !record_.has_value() || record_->released;
  if (record_.has_value()) {
    const Duration unchanged = now - unchanged_since_;
    const bool is_expired = unchanged >= record_->duration + settings_.margin;
    const bool is_own =
        record_->holder == self_ && record_->incarnation == incarnation_;
    if (!record_->released && !is_expired && !is_own) return;
    write.record.fencing = FencingNumber(record_->fencing.value() + 1);
  }
  Write(std::move(write));
}

void Lease::Write(PendingWrite write) {
  write.record.operation =
      OperationId(self_.value() + "-" + std::to_string(incarnation_.value()) +
                  "-" + std::to_string(random_.Next()));
  write.sent_at = clock_.Now();
  const auto written = store_.CompareAndSwap(
      settings_.key, Json(write.record).dump(), record_index_);
  if (!IsOk(written)) {
    if (ErrorOf(written).verdict != Verdict::kNotRun) {
      pending_ = std::move(write);
    }
    return;
  }
  // After a conflict, the next call of `Step` reads the current holder.
  if (ValueOf(written) == SwapOutcome::kSwapped) ApplyWrite(write);
}

void Lease::ApplyWrite(const PendingWrite& write) {
  if (write.record.released) return;
  if (!is_holder_ || write.record.fencing != view_.fencing) {
    view_.acquired_at = clock_.Now();
    view_.fencing = write.record.fencing;
    view_.after_release = write.after_release;
  }
  is_holder_ = true;
  view_.held_until = write.sent_at + settings_.duration - settings_.margin;
  renew_at_ = write.sent_at + settings_.renew_interval;
}

void Lease::Release() {
  if (!is_holder_) return;
  is_holder_ = false;
  if (!RefreshRecord() || !record_.has_value()) return;
  if (record_->fencing != view_.fencing) return;
  PendingWrite write;
  write.record = *record_;
  write.record.released = true;
  Write(std::move(write));
}

}  // namespace briarspread
