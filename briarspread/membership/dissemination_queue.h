#ifndef BRIARSPREAD_MEMBERSHIP_DISSEMINATION_QUEUE_H_
#define BRIARSPREAD_MEMBERSHIP_DISSEMINATION_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace briarspread {

/// Queue of changes to disseminate, each a bounded number of times; the changes
/// with the most transmissions left come first. A few rounds more than the
/// logarithm of the fleet size reach the whole fleet with high probability
/// (Demers et al., "Epidemic Algorithms", 1987). Not thread-safe.
template <typename Key>
class DisseminationQueue {
 public:
  /// Adds `key`, or adds it again, to be sent `times` times from now on.
  void Push(const Key& key, std::uint32_t times) { remaining_[key] = times; }
  /// Records that `key` was sent once; removes it after the last time.
  void MarkSent(const Key& key) {
    const auto it = remaining_.find(key);
    if (it != remaining_.end() && --it->second == 0) remaining_.erase(it);
  }
  /// Removes `key`.
  void Erase(const Key& key) { remaining_.erase(key); }
  /// Returns up to `limit` keys to send, those with the most transmissions left
  /// first.
  std::vector<Key> Next(std::size_t limit) const {
    std::vector<std::pair<std::uint32_t, const Key*>> order;
    order.reserve(remaining_.size());
    for (const auto& [key, times] : remaining_) order.emplace_back(times, &key);
    const std::size_t n = std::min(limit, order.size());
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n),
        order.end(), [](const auto& a, const auto& b) {
          return a.first != b.first ? a.first > b.first : *a.second < *b.second;
        });
    std::vector<Key> keys;
    for (std::size_t i = 0; i < n; ++i) keys.push_back(*order[i].second);
    return keys;
  }
  bool empty() const { return remaining_.empty(); }

 private:
  /// Number of transmissions left, by key; above zero.
  std::map<Key, std::uint32_t> remaining_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_DISSEMINATION_QUEUE_H_
