#ifndef BRIARSPREAD_MEMBERSHIP_NOTICE_BOARD_H_
#define BRIARSPREAD_MEMBERSHIP_NOTICE_BOARD_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/membership/dissemination_queue.h"
#include "briarspread/membership/notice.h"

namespace briarspread {

/// Notices about requests that crash upstreams, of this and other instances.
/// Counts only grow, and a notice ends when the time it names has run out, so
/// instances agree whatever the order of messages. Not thread-safe.
class NoticeBoard {
 public:
  /// Keeps at most `capacity` notices; beyond, those that end first go.
  /// Precondition: `clock` outlives this object and `capacity` > 0.
  NoticeBoard(std::size_t capacity, const Clock& clock);

  /// Takes a notice, to be sent `times` times if it is new here. Returns
  /// whether it was.
  bool Merge(const Notice& notice, std::uint32_t times);
  /// Drops notices whose time has run out.
  void Expire();
  /// The total over all origins.
  std::uint32_t Total(Fingerprint fingerprint, NoticeKind kind) const;
  /// Notices to send next: new ones first, then older ones by turns.
  std::vector<Notice> Next(std::size_t limit);
  /// Counts a sending.
  void MarkSent(const Notice& notice) { queue_.MarkSent(notice.key); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint32_t count = 0;
    TimePoint ends_at;
  };
  void Remove(const NoticeKey& key);
  Notice MakeNotice(const NoticeKey& key, const Entry& entry) const;

  const std::size_t capacity_;
  const Clock& clock_;
  std::map<NoticeKey, Entry> entries_;
  /// Entries by when they end.
  std::set<std::pair<TimePoint, NoticeKey>> ends_;
  DisseminationQueue<NoticeKey> queue_;
  /// The notice sent last by turns.
  NoticeKey cursor_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_NOTICE_BOARD_H_
