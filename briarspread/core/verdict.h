#ifndef BRIARSPREAD_CORE_VERDICT_H_
#define BRIARSPREAD_CORE_VERDICT_H_

#include <optional>
#include <string_view>

namespace briarspread {

/// States whether a request may have run on an upstream. Every call ends with a
/// verdict.
enum class Verdict {
  /// The upstream ran the request, and its whole response was received.
  kAnswered,
  /// Certainly no upstream ran any part of the request.
  kNotRun,
  /// Some upstream may have run the request, but no whole response was
  /// received.
  kMayHaveRun,
};

/// Returns the verdict's name in headers and JSON bodies: `answered`, `not-run`
/// or `may-have-run`. Thread-safe.
std::string_view ToString(Verdict verdict);

/// Returns the verdict that `text` names, or nullopt for any other text.
/// Thread-safe.
std::optional<Verdict> ParseVerdict(std::string_view text);

/// Returns whether a request with this verdict may be sent again. Thread-safe.
constexpr bool IsRetryable(Verdict verdict, bool idempotent) {
  return verdict == Verdict::kNotRun ||
         (idempotent && verdict == Verdict::kMayHaveRun);
}

/// Returns the combined verdict of two attempts at one request: `kAnswered` if
/// either was answered, else `kMayHaveRun` if either may have run, else
/// `kNotRun`. Thread-safe.
constexpr Verdict Combine(Verdict first, Verdict second) {
  if (first == Verdict::kAnswered || second == Verdict::kAnswered) {
    return Verdict::kAnswered;
  }
  if (first == Verdict::kMayHaveRun || second == Verdict::kMayHaveRun) {
    return Verdict::kMayHaveRun;
  }
  return Verdict::kNotRun;
}

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_VERDICT_H_
