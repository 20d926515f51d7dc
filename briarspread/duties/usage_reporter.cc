#include "briarspread/duties/usage_reporter.h"

#include <glog/logging.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/proxy/http_message.h"

namespace briarspread::duties {
namespace {

using Json = nlohmann::json;

std::string KeyOf(UsageWindow window) {
  // Digits of a 64-bit number, so that keys sort like windows.
  constexpr std::size_t kWidth = 20;
  const std::string digits = std::to_string(window.value());
  return UsageReporter::kPrefix + std::string(kWidth - digits.size(), '0') +
         digits;
}

std::optional<UsageWindow> WindowOf(const std::string& key) {
  const auto n = proxy::ParseNumber(std::string_view{key}.substr(
      std::string_view{UsageReporter::kPrefix}.size()));
  if (!n.has_value()) return std::nullopt;
  return UsageWindow(*n);
}

std::string Encode(const AccountCounts& counts) {
  Json json = Json::object();
  for (const auto& [account, count] : counts) json[account.value()] = count;
  return json.dump();
}

std::optional<AccountCounts> ParseCounts(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  AccountCounts counts;
  for (const auto& [account, count] : json.items()) {
    if (!count.is_number_unsigned()) return std::nullopt;
    counts[accounts::AccountId(account)] = count.get<std::uint64_t>();
  }
  return counts;
}

}  // namespace

UsageReporter::UsageReporter(AsyncStore& store, OrderLease& order_lease,
                             UsageCounter& counter, const TrueTime& true_time,
                             ControlApi& api, const Clock& clock,
                             const UsageReporterSettings& settings)
    : store_(store),
      order_lease_(order_lease),
      counter_(counter),
      true_time_(true_time),
      api_(api),
      clock_(clock),
      settings_(settings) {}

UsageWindow UsageReporter::LastDue() const {
  const WallTime decided_until = true_time_.Now() - settings_.decision_delay;
  const UsageWindow open = WindowAt(decided_until, counter_.window_length());
  return UsageWindow(open.value() - 1);
}

bool UsageReporter::HasWork() const {
  const TimePoint now = clock_.NowWithSuspension();
  const bool has_store_work = !is_loaded_ || next_ <= LastDue();
  const bool has_report = is_loaded_ && !unsent_.empty();
  return (has_store_work && !is_store_call_in_flight_ &&
          now >= store_blocked_until_) ||
         (has_report && !is_send_in_flight_ && now >= send_blocked_until_);
}

void UsageReporter::Step() {
  if (!order_lease_.is_holder()) {
    BeginTenure(FencingNumber());
    return;
  }
  // The lease is confirmed by calls to the store, so it is asked only when
  // there is something to do.
  if (!true_time_.is_settled() || !HasWork() || !order_lease_.MaySend()) return;
  if (order_lease_.fencing() != tenure_) BeginTenure(order_lease_.fencing());
  if (!is_loaded_) {
    Load();
    return;
  }
  if (next_ <= LastDue()) Decide();
  SendOldest();
}

void UsageReporter::BeginTenure(FencingNumber fencing) {
  tenure_ = fencing;
  is_loaded_ = false;
  deciding_.reset();
  unsent_.clear();
  removable_.clear();
  is_store_call_in_flight_ = false;
  store_blocked_until_ = {};
}

void UsageReporter::Load() {
  if (is_store_call_in_flight_) return;
  is_store_call_in_flight_ = true;
  store_.List(kPrefix, [this,
                        tenure = tenure_](const Result<StoreListing>& listing) {
    if (tenure != tenure_) return;
    is_store_call_in_flight_ = false;
    if (IsOk(listing)) {
      OnLoaded(ValueOf(listing));
      return;
    }
    store_blocked_until_ = clock_.NowWithSuspension() + settings_.store_pause;
    LOG(WARNING) << "event=usage_reports_not_listed reason=\""
                 << ErrorOf(listing).message << "\"";
  });
}

void UsageReporter::OnLoaded(const StoreListing& listing) {
  std::map<UsageWindow, std::string> reports;
  std::optional<UsageWindow> start;
  for (const KeyValue& item : listing.items) {
    const auto window = WindowOf(item.key);
    const auto value = proxy::ParseNumber(item.value);
    if (item.key == kStartKey && value.has_value()) {
      start = UsageWindow(*value);
    } else if (window.has_value() && ParseCounts(item.value).has_value()) {
      reports[*window] = item.value;
    } else {
      LOG(ERROR) << "event=usage_report_malformed key=" << item.key;
    }
  }
  if (reports.empty() && !start.has_value()) {
    WriteStart(counter_.FirstWindow());
    return;
  }
  UsageWindow next = start.value_or(counter_.FirstWindow());
  for (auto& [window, value] : reports) {
    unsent_.push_back({window, std::move(value)});
    next = std::max(next, UsageWindow(window.value() + 1));
  }
  BeginWith(next);
}

void UsageReporter::WriteStart(UsageWindow start) {
  StoreTransaction transaction;
  transaction.conditions = {
      {kStartKey, StoreIndex(0)},
      {InstanceRegistry::kOrderLeaseKey, StoreIndex(tenure_.value())}};
  transaction.writes.push_back(
      {kStartKey, std::to_string(start.value()), StoreLeaseId()});
  is_store_call_in_flight_ = true;
  store_.Commit(
      std::move(transaction),
      [this, start, tenure = tenure_](const Result<StoreOutcome>& outcome) {
        if (tenure != tenure_) return;
        is_store_call_in_flight_ = false;
        if (IsOk(outcome) &&
            std::holds_alternative<StoreCommitted>(ValueOf(outcome))) {
          BeginWith(start);
          return;
        }
        // Listed again, in case the write took effect.
        store_blocked_until_ =
            clock_.NowWithSuspension() + settings_.store_pause;
        LOG(WARNING) << "event=usage_start_not_written window=" << start;
        order_lease_.Reconfirm();
      });
}

void UsageReporter::BeginWith(UsageWindow next) {
  is_loaded_ = true;
  next_ = next;
  SkipOld();
  counter_.CloseBefore(next_);
  LOG(INFO) << "event=usage_reports_loaded reports=" << unsent_.size()
            << " next_window=" << next_ << " fencing=" << tenure_;
}

void UsageReporter::SkipOld() {
  const UsageWindow oldest = WindowAt(true_time_.Now() - settings_.max_backlog,
                                      counter_.window_length());
  if (next_ >= oldest) return;
  LOG(ERROR) << "event=usage_windows_skipped from=" << next_
             << " to=" << oldest;
  next_ = oldest;
}

void UsageReporter::Decide() {
  if (is_store_call_in_flight_ ||
      clock_.NowWithSuspension() < store_blocked_until_) {
    return;
  }
  if (!deciding_.has_value()) {
    counter_.PlaceStarts();
    deciding_ = Encode(counter_.Total(next_));
  }
  StoreTransaction transaction;
  transaction.conditions = {
      {KeyOf(next_), StoreIndex(0)},
      {InstanceRegistry::kOrderLeaseKey, StoreIndex(tenure_.value())}};
  transaction.writes.push_back({KeyOf(next_), *deciding_, StoreLeaseId()});
  const std::size_t n =
      std::min(removable_.size(), kMaxTransactionEntries -
                                      transaction.conditions.size() -
                                      transaction.writes.size());
  for (std::size_t i = 0; i < n; ++i) {
    transaction.removals.push_back(KeyOf(removable_[i]));
  }
  is_store_call_in_flight_ = true;
  store_.Commit(
      std::move(transaction),
      [this, tenure = tenure_, n](const Result<StoreOutcome>& outcome) {
        if (tenure != tenure_) return;
        is_store_call_in_flight_ = false;
        if (IsOk(outcome) &&
            std::holds_alternative<StoreCommitted>(ValueOf(outcome))) {
          removable_.erase(removable_.begin(),
                           removable_.begin() + static_cast<std::ptrdiff_t>(n));
        }
        OnWritten(outcome);
      });
}

void UsageReporter::OnWritten(const Result<StoreOutcome>& outcome) {
  if (!IsOk(outcome)) {
    store_blocked_until_ = clock_.NowWithSuspension() + settings_.store_pause;
    LOG(WARNING) << "event=usage_not_decided window=" << next_ << " reason=\""
                 << ErrorOf(outcome).message << "\"";
    return;
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&ValueOf(outcome))) {
    OnConflict(*conflict);
    return;
  }
  OnDecided(*deciding_);
}

void UsageReporter::OnConflict(const StoreConflict& conflict) {
  // The report exists if the answer to an earlier write of it was lost.
  const std::string key = KeyOf(next_);
  for (const KeyValue& item : conflict.current) {
    if (item.key != key || item.index == StoreIndex(0)) continue;
    OnDecided(item.value);
    return;
  }
  LOG(WARNING) << "event=usage_not_decided window=" << next_
               << " reason=lease_changed";
  store_blocked_until_ = clock_.NowWithSuspension() + settings_.store_pause;
  order_lease_.Reconfirm();
}

void UsageReporter::OnDecided(std::string value) {
  ++metrics_.decided;
  LOG(INFO) << "event=usage_decided window=" << next_
            << " bytes=" << value.size() << " fencing=" << tenure_;
  unsent_.push_back({next_, std::move(value)});
  deciding_.reset();
  next_ = UsageWindow(next_.value() + 1);
  counter_.CloseBefore(next_);
  // The lease was confirmed for this step a moment ago; the report need not
  // wait for the next one.
  if (order_lease_.is_holder() && order_lease_.fencing() == tenure_ &&
      order_lease_.MaySend()) {
    SendOldest();
  }
}

void UsageReporter::SendOldest() {
  if (unsent_.empty() || is_send_in_flight_ ||
      clock_.NowWithSuspension() < send_blocked_until_ || !api_.TryAdmit()) {
    return;
  }
  const StoredReport& oldest = unsent_.front();
  const auto counts = ParseCounts(oldest.value);
  if (!counts.has_value()) {
    // Only another program can have written it.
    LOG(ERROR) << "event=usage_report_malformed key=" << KeyOf(oldest.window);
    unsent_.pop_front();
    return;
  }
  is_send_in_flight_ = true;
  order_lease_.RecordOrderSent();
  api_.ReportUsage({oldest.window, *counts}, order_lease_.fencing(),
                   [this, window = oldest.window](ReportOutcome outcome) {
                     OnSent(window, outcome);
                   });
}

void UsageReporter::OnSent(UsageWindow window, ReportOutcome outcome) {
  is_send_in_flight_ = false;
  if (outcome == ReportOutcome::kFailed) {
    ++metrics_.failed;
    PauseSending();
    LOG(WARNING) << "event=usage_not_acknowledged window=" << window
                 << " pause_ms=" << send_pause_.count();
    return;
  }
  send_pause_ = milliseconds(0);
  if (outcome == ReportOutcome::kAcknowledged) {
    ++metrics_.acknowledged;
    LOG(INFO) << "event=usage_acknowledged window=" << window;
  } else {
    // Repeating it would hold up the later ones.
    ++metrics_.rejected;
    LOG(ERROR) << "event=usage_rejected window=" << window;
  }
  // The lease may have changed meanwhile.
  if (unsent_.empty() || unsent_.front().window != window) return;
  unsent_.pop_front();
  removable_.push_back(window);
}

void UsageReporter::PauseSending() {
  send_pause_ = std::clamp(2 * send_pause_, settings_.min_send_pause,
                           settings_.max_send_pause);
  send_blocked_until_ = clock_.NowWithSuspension() + send_pause_;
}

Duration UsageReporter::OldestUnreportedAge() const {
  if (!is_loaded_) return Duration(0);
  const UsageWindow oldest = unsent_.empty() ? next_ : unsent_.front().window;
  return std::max<Duration>(
      Duration(0), true_time_.Now() - EndOf(oldest, counter_.window_length()));
}

}  // namespace briarspread::duties
