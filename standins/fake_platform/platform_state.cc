#include "standins/fake_platform/platform_state.h"

#include <utility>

namespace briarspread::standins {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

std::optional<StoredKey> PlatformState::WaitForKey(const std::string& key,
                                                   std::uint64_t after,
                                                   milliseconds wait) {
  std::unique_lock lock(mutex_);
  const auto is_newer = [&] {
    const auto it = keys_.find(key);
    return it != keys_.end() && it->second.modify_index > after;
  };
  if (wait.count() > 0) changed_.wait_for(lock, wait, is_newer);
  const auto it = keys_.find(key);
  if (it == keys_.end()) return std::nullopt;
  return it->second;
}

std::map<std::string, StoredKey> PlatformState::List(
    const std::string& prefix) {
  std::lock_guard lock(mutex_);
  std::map<std::string, StoredKey> found;
  for (auto it = keys_.lower_bound(prefix);
       it != keys_.end() && it->first.starts_with(prefix); ++it) {
    found.insert(*it);
  }
  return found;
}

bool PlatformState::Put(const std::string& key, const std::string& value_base64,
                        std::optional<std::uint64_t> cas) {
  std::lock_guard lock(mutex_);
  const auto it = keys_.find(key);
  const std::uint64_t current = it == keys_.end() ? 0 : it->second.modify_index;
  if (cas.has_value() && *cas != current) return false;
  const std::uint64_t index = ++last_index_;
  StoredKey& stored = keys_[key];
  if (stored.create_index == 0) stored.create_index = index;
  stored.value_base64 = value_base64;
  stored.modify_index = index;
  changed_.notify_all();
  return true;
}

bool PlatformState::Delete(const std::string& key,
                           std::optional<std::uint64_t> cas) {
  std::lock_guard lock(mutex_);
  const auto it = keys_.find(key);
  if (it == keys_.end()) return !cas.has_value();
  if (cas.has_value() && *cas != it->second.modify_index) return false;
  keys_.erase(it);
  ++last_index_;
  changed_.notify_all();
  return true;
}

void PlatformState::PushView(std::map<std::string, nlohmann::json> rows) {
  const TimePoint now = Now();
  views_.push_back({now, std::move(rows)});
  while (views_.size() > 1 && views_[1].since + faults_.list_lag <= now) {
    views_.pop_front();
  }
}

const PlatformState::CatalogView* PlatformState::VisibleView(
    TimePoint now) const {
  const CatalogView* visible = nullptr;
  for (const CatalogView& view : views_) {
    if (view.since + faults_.list_lag <= now) visible = &view;
  }
  return visible;
}

void PlatformState::Register(const nlohmann::json& row) {
  std::lock_guard lock(mutex_);
  auto rows = views_.empty() ? std::map<std::string, nlohmann::json>{}
                             : views_.back().rows;
  rows[row.value("ServiceID", "")] = row;
  PushView(std::move(rows));
}

bool PlatformState::SetInstanceState(const std::string& id,
                                     const std::string& state) {
  std::lock_guard lock(mutex_);
  if (views_.empty() || !views_.back().rows.contains(id)) return false;
  auto rows = views_.back().rows;
  rows[id]["ServiceMeta"]["state"] = state;
  PushView(std::move(rows));
  return true;
}

void PlatformState::Deregister(const std::string& id) {
  std::lock_guard lock(mutex_);
  if (views_.empty()) return;
  auto rows = views_.back().rows;
  rows.erase(id);
  PushView(std::move(rows));
}

nlohmann::json PlatformState::Catalog() {
  std::lock_guard lock(mutex_);
  nlohmann::json rows = nlohmann::json::array();
  const CatalogView* view = VisibleView(Now());
  if (view == nullptr) return rows;
  for (const auto& [id, row] : view->rows) rows.push_back(row);
  return rows;
}

PlatformFaults PlatformState::faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

void PlatformState::SetFaults(const PlatformFaults& faults) {
  std::lock_guard lock(mutex_);
  faults_ = faults;
}

bool PlatformState::ConsumeLostAnswer() {
  std::lock_guard lock(mutex_);
  if (faults_.lose_write_answers == 0) return false;
  --faults_.lose_write_answers;
  return true;
}

bool PlatformState::Admit(CallKind kind) {
  std::lock_guard lock(mutex_);
  const std::int64_t second =
      std::chrono::duration_cast<seconds>(Now().time_since_epoch()).count();
  if (second != current_second_) {
    current_second_ = second;
    reads_this_second_ = 0;
    writes_this_second_ = 0;
  }
  const bool is_write = kind == CallKind::kWrite;
  const std::uint64_t limit = is_write ? writes_per_second_ : reads_per_second_;
  std::uint64_t& used = is_write ? writes_this_second_ : reads_this_second_;
  if (limit != 0 && used >= limit) {
    ++counts_.refused;
    return false;
  }
  ++used;
  if (is_write) ++counts_.writes;
  if (kind == CallKind::kRead) ++counts_.reads;
  if (kind == CallKind::kWatch) ++counts_.watches;
  return true;
}

void PlatformState::SetRates(std::uint64_t reads_per_second,
                             std::uint64_t writes_per_second) {
  std::lock_guard lock(mutex_);
  reads_per_second_ = reads_per_second;
  writes_per_second_ = writes_per_second;
}

void PlatformState::CountWeightBytes(const std::string& region,
                                     std::uint64_t n) {
  std::lock_guard lock(mutex_);
  counts_.weight_bytes[region] += n;
}

PlatformCounts PlatformState::counts() {
  std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace briarspread::standins
