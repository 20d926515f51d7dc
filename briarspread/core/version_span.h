#ifndef BRIARSPREAD_CORE_VERSION_SPAN_H_
#define BRIARSPREAD_CORE_VERSION_SPAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"

namespace briarspread {

/// The tokens [begin, end) of a sample, all produced by one weight version.
struct VersionSpan {
  WeightVersion version;
  /// Index of the first token.
  std::uint32_t begin = 0;
  /// Index after the last token.
  std::uint32_t end = 0;

  friend bool operator==(const VersionSpan&, const VersionSpan&) = default;
};

/// Appends the token `index` to `spans`. Extends the last span if it is of the
/// same version and ends at `index`; otherwise adds a span.
void AppendToken(std::vector<VersionSpan>& spans, WeightVersion version,
                 std::uint32_t index);

/// Returns the distinct versions in `spans`, ascending and separated by commas,
/// as in the header. Thread-safe.
std::string FormatVersions(const std::vector<VersionSpan>& spans);

/// Returns the oldest version in `spans`. Precondition: `spans` is not empty.
/// Thread-safe.
WeightVersion OldestVersion(const std::vector<VersionSpan>& spans);

/// Returns whether `spans` cover each token in [0, tokens) exactly once, in
/// order. Returns false if `tokens` is zero, because such a sample has no
/// version. Thread-safe.
bool CoversAllTokens(const std::vector<VersionSpan>& spans,
                     std::uint32_t tokens);

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_VERSION_SPAN_H_
