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
  /// How long after leaving an upstream may still be given new work.
  milliseconds leaving_grace{3000};
};

/// What came of checking one promise.
struct InvariantReport {
  /// The promise's name.
  std::string name;
  /// Operations checked.
  std::uint64_t checked = 0;
  /// What was found broken, one line each.
  std::vector<std::string> violations;
};

/// Checks the promises of the brief over a whole history. Thread-safe.
std::vector<InvariantReport> CheckHistory(
    const History& history, const HistoryCheckerSettings& settings);

/// Whether any report holds a violation. Thread-safe.
bool HasViolations(const std::vector<InvariantReport>& reports);

}  // namespace briarspread

#endif  // BRIARSPREAD_HISTORY_HISTORY_CHECKER_H_
