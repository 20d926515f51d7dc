#ifndef BRIARSPREAD_CORE_VERSION_SPAN_H_
#define BRIARSPREAD_CORE_VERSION_SPAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"

namespace briarspread {

/// Consecutive tokens that one weight version produced: [begin, end).
struct VersionSpan {
  /// The version.
  WeightVersion version;
  /// The first token.
  std::uint32_t begin = 0;
  /// One past the last token.
  std::uint32_t end = 0;

  friend bool operator==(const VersionSpan&, const VersionSpan&) = default;
};

/// Appends one token to `spans`, joining it to the last span where it can.
void AppendToken(std::vector<VersionSpan>& spans, WeightVersion version,
                 std::uint32_t index);

/// The names of the versions in `spans`, ascending, as the header lists them.
/// Thread-safe.
std::string FormatVersions(const std::vector<VersionSpan>& spans);

/// The oldest version in `spans`. Precondition: `spans` is not empty.
/// Thread-safe.
WeightVersion OldestVersion(const std::vector<VersionSpan>& spans);

/// Whether `spans` name the version of each token in [0, tokens) exactly once,
/// in order. A sample without tokens has no versions, so it is not covered.
/// Thread-safe.
bool CoversAllTokens(const std::vector<VersionSpan>& spans,
                     std::uint32_t tokens);

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_VERSION_SPAN_H_
