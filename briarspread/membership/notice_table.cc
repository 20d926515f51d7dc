#include "briarspread/membership/notice_table.h"

#include <algorithm>
#include <cassert>

namespace briarspread {

NoticeTable::NoticeTable(std::size_t capacity, const Clock& clock)
    : capacity_(capacity), clock_(clock) {
  assert(capacity > 0);
}

bool NoticeTable::Merge(const Notice& notice, std::uint32_t times) {
  if (notice.remaining <= seconds(0) || notice.count == 0) return false;
  const TimePoint expires_at = clock_.Now() + notice.remaining;
  const auto [it, is_new] = entries_.try_emplace(notice.key);
  Entry& entry = it->second;
  const bool grew = notice.count > entry.count;
  if (is_new) entry.expires_at = TimePoint::min();
  if (expires_at > entry.expires_at) {
    by_expiry_.erase({entry.expires_at, notice.key});
    entry.expires_at = expires_at;
    by_expiry_.insert({expires_at, notice.key});
  }
  if (!grew) return false;
  entry.count = notice.count;
  queue_.Push(notice.key, times);
  if (entries_.size() > capacity_) {
    const NoticeKey first_to_expire = by_expiry_.begin()->second;
    Remove(first_to_expire);
  }
  return true;
}

void NoticeTable::Expire() {
  const TimePoint now = clock_.Now();
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const NoticeKey key = by_expiry_.begin()->second;
    Remove(key);
  }
}

void NoticeTable::Remove(const NoticeKey& key) {
  const auto it = entries_.find(key);
  by_expiry_.erase({it->second.expires_at, key});
  entries_.erase(it);
  queue_.Erase(key);
}

std::uint32_t NoticeTable::Total(Fingerprint fingerprint,
                                 NoticeKind kind) const {
  std::uint32_t total = 0;
  for (auto it = entries_.lower_bound({fingerprint, kind, InstanceId()});
       it != entries_.end(); ++it) {
    if (it->first.fingerprint != fingerprint || it->first.kind != kind) break;
    total += it->second.count;
  }
  return total;
}

Notice NoticeTable::MakeNotice(const NoticeKey& key, const Entry& entry) const {
  Notice notice;
  notice.key = key;
  notice.count = entry.count;
  // Rounded down, so that forwarding a notice never extends it.
  notice.remaining =
      std::chrono::duration_cast<seconds>(entry.expires_at - clock_.Now());
  return notice;
}

std::vector<Notice> NoticeTable::Next(std::size_t limit) {
  std::vector<Notice> notices;
  for (const NoticeKey& key : queue_.Next(limit)) {
    notices.push_back(MakeNotice(key, entries_.at(key)));
  }
  const std::size_t round_robin_count =
      std::min(limit - notices.size(), entries_.size() - notices.size());
  for (std::size_t i = 0; i < round_robin_count; ++i) {
    auto it = entries_.upper_bound(cursor_);
    if (it == entries_.end()) it = entries_.begin();
    cursor_ = it->first;
    notices.push_back(MakeNotice(it->first, it->second));
  }
  return notices;
}

}  // namespace briarspread
