#ifndef BRIARSPREAD_HISTORY_HISTORY_CHECKER_H_
#define BRIARSPREAD_HISTORY_HISTORY_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/history/history.h"

namespace briarspread {

/// Settings of `CheckHistory`.
struct HistoryCheckerSettings {
  /// Time after an upstream is marked as leaving during which it may still
  /// receive new requests.
  milliseconds leaving_grace{3000};
};

/// The result of checking one invariant.
struct InvariantReport {
  /// The invariant, in words.
  std::string name;
  /// Number of operations checked.
  std::uint64_t checked = 0;
  /// Descriptions of the violations found.
  std::vector<std::string> violations;
};

/// Checks a history against the guarantees of the service. Returns one report
/// for each invariant. Thread-safe.
std::vector<InvariantReport> CheckHistory(
    const History& history, const HistoryCheckerSettings& settings);

/// Returns whether any report contains a violation. Thread-safe.
bool HasViolations(const std::vector<InvariantReport>& reports);

}  // namespace briarspread

#endif  // BRIARSPREAD_HISTORY_HISTORY_CHECKER_H_
