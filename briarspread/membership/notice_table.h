#ifndef BRIARSPREAD_MEMBERSHIP_NOTICE_TABLE_H_
#define BRIARSPREAD_MEMBERSHIP_NOTICE_TABLE_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/membership/dissemination_queue.h"
#include "briarspread/membership/notice.h"

namespace briarspread {

/// Table of notices about requests that crash upstreams, from this instance and
/// others. Counts never decrease and each notice has its expiry time, so that
/// instances converge whatever the order of messages. Not thread-safe.
class NoticeTable {
 public:
  /// Keeps at most `capacity` notices; beyond that, those that expire first are
  /// evicted.
  /// Precondition: `clock` outlives this object and `capacity` > 0.
  NoticeTable(std::size_t capacity, const Clock& clock);

  /// Merges a notice. Returns whether its count is higher than the one known
  /// here; if so, the notice is queued to be sent `times` times.
  bool Merge(const Notice& notice, std::uint32_t times);
  /// Removes expired notices.
  void Expire();
  /// Returns the sum of the counts of all origins.
  std::uint32_t Total(Fingerprint fingerprint, NoticeKind kind) const;
  /// Returns up to `limit` notices to send next: queued ones first, then the
  /// others round-robin.
  std::vector<Notice> Next(std::size_t limit);
  /// Records that a notice was sent once.
  void MarkSent(const Notice& notice) { queue_.MarkSent(notice.key); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint32_t count = 0;
    TimePoint expires_at;
  };
  void Remove(const NoticeKey& key);
  Notice MakeNotice(const NoticeKey& key, const Entry& entry) const;

  const std::size_t capacity_;
  const Clock& clock_;
  std::map<NoticeKey, Entry> entries_;
  /// Keys ordered by expiry time.
  std::set<std::pair<TimePoint, NoticeKey>> by_expiry_;
  DisseminationQueue<NoticeKey> queue_;
  /// The notice last returned round-robin.
  NoticeKey cursor_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_NOTICE_TABLE_H_
