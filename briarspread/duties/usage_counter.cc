#include "briarspread/duties/usage_counter.h"

#include <glog/logging.h>

#include <algorithm>
#include <cassert>

namespace briarspread::duties {

UsageCounter::UsageCounter(const UsageCounterSettings& settings,
                           const UsageSource& self, const TrueTime& true_time,
                           const Clock& clock)
    : settings_(settings), self_(self), true_time_(true_time), clock_(clock) {
  assert(settings_.window > milliseconds(0));
}

std::optional<std::uint32_t> UsageCounter::NumberOf(
    const accounts::AccountId& account) {
  const auto it = account_numbers_.find(account);
  if (it != account_numbers_.end()) return it->second;
  if (accounts_.size() >= settings_.max_accounts) {
    if (!std::exchange(has_logged_account_bound_, true)) {
      LOG(ERROR) << "event=usage_accounts_over_bound max="
                 << settings_.max_accounts;
    }
    return std::nullopt;
  }
  const auto number = static_cast<std::uint32_t>(accounts_.size());
  accounts_.push_back(account);
  account_numbers_.emplace(account, number);
  return number;
}

void UsageCounter::RecordStart(const accounts::AccountId& account,
                               TimePoint began) {
  const auto number = NumberOf(account);
  if (!number.has_value()) return;
  if (unplaced_.size() >= settings_.max_unplaced) PlaceStarts();
  if (unplaced_.size() >= settings_.max_unplaced) {
    LOG_EVERY_N(WARNING, 1000) << "event=usage_start_dropped reason=unsettled";
    return;
  }
  const Duration age = clock_.Now() - began;
  unplaced_.push_back({*number, clock_.NowWithSuspension() - age});
}

void UsageCounter::PlaceStarts() {
  if (!true_time_.is_settled()) return;
  for (const UnplacedStart& start : unplaced_) {
    const UsageWindow window =
        WindowAt(true_time_.At(start.began), settings_.window);
    const CountKey key{window, self_, start.account};
    std::uint32_t* const count = FindOrAdd(key);
    if (count == nullptr) continue;
    ++*count;
    changed_.insert(key);
  }
  unplaced_.clear();
  DropOverBounds();
}

std::uint32_t* UsageCounter::FindOrAdd(const CountKey& key) {
  if (key.window < open_window_) {
    LogLate(key.source, key.window);
    return nullptr;
  }
  // A window that has not begun is an error of the sender's clock.
  constexpr std::uint64_t kMaxWindowsAhead = 1;
  const UsageWindow now = WindowAt(true_time_.Now(), settings_.window);
  if (key.window.value() > now.value() + kMaxWindowsAhead) {
    LOG_EVERY_N(WARNING, 100)
        << "event=usage_in_future instance=" << key.source.instance
        << " window=" << key.window;
    return nullptr;
  }
  Counts& counts = windows_[key.window][key.source];
  const std::pair<std::uint32_t, std::uint32_t> wanted{key.account, 0};
  auto it = std::lower_bound(counts.begin(), counts.end(), wanted);
  if (it == counts.end() || it->first != key.account) {
    it = counts.insert(it, wanted);
    ++count_total_;
  }
  return &it->second;
}

void UsageCounter::LogLate(const UsageSource& source, UsageWindow window) {
  LOG_EVERY_N(WARNING, 100)
      << "event=usage_late instance=" << source.instance << " window=" << window
      << " open_window=" << open_window_;
}

void UsageCounter::DropOverBounds() {
  while (windows_.size() > settings_.max_windows ||
         (count_total_ > settings_.max_counts && windows_.size() > 1)) {
    LOG(ERROR) << "event=usage_window_over_bound window="
               << windows_.begin()->first << " windows=" << windows_.size()
               << " counts=" << count_total_;
    for (const auto& [source, counts] : windows_.begin()->second) {
      count_total_ -= counts.size();
    }
    windows_.erase(windows_.begin());
  }
}

UsageCounter::CountKeys UsageCounter::TakeChanged() {
  return std::exchange(changed_, {});
}

UsageCounter::CountKeys UsageCounter::KeysOf(const UsageSource& source) const {
  CountKeys keys;
  for (const auto& [window, by_source] : windows_) {
    const auto it = by_source.find(source);
    if (it == by_source.end()) continue;
    for (const auto& [account, count] : it->second) {
      keys.insert({window, source, account});
    }
  }
  return keys;
}

std::set<UsageSource> UsageCounter::Sources() const {
  std::set<UsageSource> sources;
  for (const auto& [window, by_source] : windows_) {
    for (const auto& [source, counts] : by_source) sources.insert(source);
  }
  return sources;
}

std::vector<SourceCounts> UsageCounter::Read(const CountKeys& keys) const {
  std::vector<SourceCounts> list;
  for (const CountKey& key : keys) {
    const auto window = windows_.find(key.window);
    if (window == windows_.end()) continue;
    const auto source = window->second.find(key.source);
    if (source == window->second.end()) continue;
    const Counts& counts = source->second;
    const auto it = std::lower_bound(
        counts.begin(), counts.end(),
        std::pair<std::uint32_t, std::uint32_t>(key.account, 0));
    if (it == counts.end() || it->first != key.account) continue;
    if (list.empty() || list.back().window != key.window ||
        list.back().source != key.source) {
      list.push_back({key.source, key.window, {}});
    }
    list.back().counts.emplace_back(accounts_[key.account], it->second);
  }
  return list;
}

void UsageCounter::Merge(const SourceCounts& counts) {
  // Nobody else counts for this start of the program.
  if (counts.source == self_) return;
  for (const auto& [account, value] : counts.counts) {
    const auto number = NumberOf(account);
    if (!number.has_value()) continue;
    std::uint32_t* const count =
        FindOrAdd({counts.window, counts.source, *number});
    if (count == nullptr) return;
    *count = std::max(*count, value);
  }
  DropOverBounds();
}

AccountCounts UsageCounter::Total(UsageWindow window) const {
  AccountCounts total;
  const auto it = windows_.find(window);
  if (it == windows_.end()) return total;
  for (const auto& [source, counts] : it->second) {
    for (const auto& [account, count] : counts) {
      total[accounts_[account]] += count;
    }
  }
  return total;
}

void UsageCounter::CloseBefore(UsageWindow open) {
  if (open <= open_window_) return;
  open_window_ = open;
  while (!windows_.empty() && windows_.begin()->first < open) {
    for (const auto& [source, counts] : windows_.begin()->second) {
      count_total_ -= counts.size();
    }
    windows_.erase(windows_.begin());
  }
}

void UsageCounter::MergeFirstWindow(UsageWindow window) {
  if (window.value() == 0) return;
  if (first_window_of_peers_.value() == 0 || window < first_window_of_peers_) {
    first_window_of_peers_ = window;
  }
}

UsageWindow UsageCounter::FirstWindow() const {
  if (!true_time_.is_settled()) return UsageWindow();
  const UsageWindow own =
      WindowAt(true_time_.At(true_time_.created_at()), settings_.window);
  if (first_window_of_peers_.value() == 0) return own;
  return std::min(own, first_window_of_peers_);
}

}  // namespace briarspread::duties
