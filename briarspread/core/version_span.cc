#include "briarspread/core/version_span.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace briarspread {

void AppendToken(std::vector<VersionSpan>& spans, WeightVersion version,
                 std::uint32_t index) {
  if (!spans.empty() && spans.back().version == version &&
      spans.back().end == index) {
    spans.back().end = index + 1;
    return;
  }
  spans.push_back({version, index, index + 1});
}

std::string FormatVersions(const std::vector<VersionSpan>& spans) {
  std::set<WeightVersion> versions;
  for (const VersionSpan& span : spans) versions.insert(span.version);
  std::string text;
  for (const WeightVersion& version : versions) {
    text += (text.empty() ? "" : ",") + std::to_string(version.value());
  }
  return text;
}

WeightVersion OldestVersion(const std::vector<VersionSpan>& spans) {
  assert(!spans.empty());
  WeightVersion oldest = spans.front().version;
  for (const VersionSpan& span : spans) oldest = std::min(oldest, span.version);
  return oldest;
}

bool CoversAllTokens(const std::vector<VersionSpan>& spans,
                     std::uint32_t tokens) {
  std::uint32_t next = 0;
  for (const VersionSpan& span : spans) {
    if (span.begin != next || span.end <= span.begin) return false;
    next = span.end;
  }
  return tokens > 0 && next == tokens;
}

}  // namespace briarspread
