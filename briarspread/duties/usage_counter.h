#ifndef BRIARSPREAD_DUTIES_USAGE_COUNTER_H_
#define BRIARSPREAD_DUTIES_USAGE_COUNTER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarspread/accounts/usage_recorder.h"
#include "briarspread/duties/true_time.h"
#include "briarspread/duties/usage_counts.h"

namespace briarspread::duties {

/// Settings of `UsageCounter`.
struct UsageCounterSettings {
  /// Length of a report window.
  milliseconds window{5000};
  /// Maximum number of windows with counts. The oldest is dropped above it.
  std::size_t max_windows = 64;
  /// Maximum number of counts over all windows and sources, of 8 bytes each.
  std::size_t max_counts = 1'000'000;
  /// Maximum number of accounts that are told apart.
  std::size_t max_accounts = 20'000;
  /// Maximum number of starts that wait for their window.
  std::size_t max_unplaced = 20'000;
};

/// Counts the starts of callers' requests by window and account, and holds the
/// counts of other instances. A count only increases; of two values of one
/// count the larger holds, so digests may be lost, repeated or overtake each
/// other. Loop's thread only.
class UsageCounter final : public accounts::UsageRecorder {
 public:
  /// Identifies one count of this object.
  struct CountKey {
    UsageWindow window;
    UsageSource source;
    std::uint32_t account = 0;

    friend auto operator<=>(const CountKey&, const CountKey&) = default;
  };
  using CountKeys = std::set<CountKey>;

  /// Precondition: references outlive this object, and the window's length is
  /// positive.
  UsageCounter(const UsageCounterSettings& settings, const UsageSource& self,
               const TrueTime& true_time, const Clock& clock);

  void RecordStart(const accounts::AccountId& account,
                   TimePoint began) override;
  /// Counts recorded starts in their windows once true time is settled. To be
  /// called about once a second, and before `Total`.
  void PlaceStarts();
  /// Returns the own counts that have changed since the last call.
  CountKeys TakeChanged();
  /// Returns all counts of a source.
  CountKeys KeysOf(const UsageSource& source) const;
  /// Returns the sources that there are counts of.
  std::set<UsageSource> Sources() const;
  /// Returns the current values of counts, for a digest.
  std::vector<SourceCounts> Read(const CountKeys& keys) const;
  /// Merges counts of a digest.
  void Merge(const SourceCounts& counts);
  /// Returns the sum over all sources.
  AccountCounts Total(UsageWindow window) const;

  /// Drops the counts of all windows before `open`, whose reports are decided.
  /// Counts that arrive for them later are dropped and logged.
  void CloseBefore(UsageWindow open);
  /// The first window that is not closed; zero if none was closed.
  UsageWindow open_window() const { return open_window_; }
  /// Tells when the fleet started, as known to a peer; zero for not known.
  void MergeFirstWindow(UsageWindow window);
  /// Returns the window in which the first known instance started; zero while
  /// true time is not settled.
  UsageWindow FirstWindow() const;
  const UsageSource& self() const { return self_; }
  milliseconds window_length() const { return settings_.window; }

 private:
  /// Pairs of an account's number and a count, sorted.
  using Counts = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

  struct UnplacedStart {
    std::uint32_t account;
    /// By `NowWithSuspension`.
    TimePoint began;
  };

  /// Returns the account's number; nothing above `max_accounts`.
  std::optional<std::uint32_t> NumberOf(const accounts::AccountId& account);
  /// Returns the count, created with zero if absent; null if its window is
  /// closed or in the future.
  std::uint32_t* FindOrAdd(const CountKey& key);
  void DropOverBounds();
  void LogLate(const UsageSource& source, UsageWindow window);

  const UsageCounterSettings settings_;
  const UsageSource self_;
  const TrueTime& true_time_;
  const Clock& clock_;
  std::vector<accounts::AccountId> accounts_;
  std::unordered_map<accounts::AccountId, std::uint32_t> account_numbers_;
  std::map<UsageWindow, std::map<UsageSource, Counts>> windows_;
  std::size_t count_total_ = 0;
  std::vector<UnplacedStart> unplaced_;
  CountKeys changed_;
  UsageWindow open_window_;
  UsageWindow first_window_of_peers_;
  bool has_logged_account_bound_ = false;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_USAGE_COUNTER_H_
