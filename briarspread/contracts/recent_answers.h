#ifndef BRIARSPREAD_CONTRACTS_RECENT_ANSWERS_H_
#define BRIARSPREAD_CONTRACTS_RECENT_ANSWERS_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Limits on the answers that are remembered.
struct RecentAnswersSettings {
  /// Longer than it takes until the end of an upstream is known.
  milliseconds time{10'000};
  std::size_t max_count = 4096;
};

/// Remembers which requests were answered completely a short time ago. Not
/// thread-safe.
class RecentAnswers final {
 public:
  /// Precondition: `clock` outlives this object.
  RecentAnswers(const RecentAnswersSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  void Record(Fingerprint request);
  /// Returns when the request was last answered; nothing if that is unknown or
  /// too long ago.
  std::optional<TimePoint> Find(Fingerprint request) const;
  std::size_t size() const { return last_.size(); }

 private:
  struct Hash {
    std::size_t operator()(Fingerprint it) const {
      return static_cast<std::size_t>(it.value());
    }
  };

  void DropOld(TimePoint now);

  const RecentAnswersSettings settings_;
  const Clock& clock_;
  std::unordered_map<Fingerprint, TimePoint, Hash> last_;
  /// Each answer that was recorded, oldest first.
  std::deque<std::pair<TimePoint, Fingerprint>> order_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_RECENT_ANSWERS_H_
