#ifndef BRIARSPREAD_DUTIES_USAGE_COUNTS_H_
#define BRIARSPREAD_DUTIES_USAGE_COUNTS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "briarspread/accounts/account.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::duties {

/// Number of a report window: window k begins k window lengths after the start
/// of 1970 in true time.
using UsageWindow = StrongValue<struct UsageWindowTag, std::uint64_t>;

/// Returns the window that contains `time`. Precondition: `length` > 0, and
/// `time` is not before 1970. Thread-safe.
inline UsageWindow WindowAt(WallTime time, milliseconds length) {
  const auto since = std::chrono::floor<milliseconds>(time.time_since_epoch());
  return UsageWindow(static_cast<std::uint64_t>(since / length));
}

/// Returns the time at which a window ends. Thread-safe.
inline WallTime EndOf(UsageWindow window, milliseconds length) {
  return WallTime(static_cast<std::int64_t>(window.value() + 1) * length);
}

/// One start of the program on an instance, which counts requests.
struct UsageSource {
  InstanceId instance;
  Incarnation incarnation;

  friend auto operator<=>(const UsageSource&, const UsageSource&) = default;
};

/// Numbers of requests by account.
using AccountCounts = std::map<accounts::AccountId, std::uint64_t>;

/// Counts of one source in one window. Each count only increases over time.
struct SourceCounts {
  UsageSource source;
  UsageWindow window;
  std::vector<std::pair<accounts::AccountId, std::uint32_t>> counts;
};

/// The usage in one window, summed over all sources.
struct UsageReport {
  UsageWindow window;
  AccountCounts counts;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_USAGE_COUNTS_H_
