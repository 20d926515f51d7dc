#ifndef BRIARSPREAD_CORE_VERDICT_H_
#define BRIARSPREAD_CORE_VERDICT_H_

#include <optional>
#include <string_view>

namespace briarspread {

/// Says whether a request may have run on an upstream. Every call ends in one
/// of these.
enum class Verdict {
  /// The upstream ran the request, and its whole answer is at hand.
  kAnswered,
  /// Certain: no upstream ran any part of the request.
  kNotRun,
  /// Some upstream may have run the request; no whole answer is at hand.
  kMayHaveRun,
};

/// The verdict's name in headers and JSON bodies: `answered`, `not-run` or
/// `may-have-run`. Thread-safe.
std::string_view ToString(Verdict verdict);

/// The verdict named by `text`, or nothing for any other text. Thread-safe.
std::optional<Verdict> ParseVerdict(std::string_view text);

/// Whether a request with this outcome may be sent again. Thread-safe.
constexpr bool MaySendAgain(Verdict verdict, bool idempotent) {
  return verdict == Verdict::kNotRun ||
         (idempotent && verdict == Verdict::kMayHaveRun);
}

/// The verdict over several attempts at one request: the one that admits more.
/// Thread-safe.
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
