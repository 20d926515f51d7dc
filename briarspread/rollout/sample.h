#ifndef BRIARSPREAD_ROLLOUT_SAMPLE_H_
#define BRIARSPREAD_ROLLOUT_SAMPLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/version_span.h"

namespace briarspread {

/// One run of a sample on an engine; an id of the scheduler's, never reused.
using RunId = StrongValue<struct RunIdTag, std::uint64_t>;

/// Where a sample stands within its step.
struct SamplePlace {
  /// Index of its group, in ascending order of group ids.
  std::uint32_t group = 0;
  /// Its place within the group.
  SampleIndex sample;

  friend auto operator<=>(const SamplePlace&, const SamplePlace&) = default;
};

/// A sample as an engine finished it.
struct FinishedSample {
  /// The run that finished it; tells it from a later sample of its place.
  RunId run;
  /// The generated text.
  std::string text;
  /// Tokens generated.
  std::uint32_t tokens = 0;
  /// The versions that produced it, as the engine reported by token.
  std::vector<VersionSpan> versions;
  /// What the scoring service said, as JSON text, where one scores.
  std::optional<std::string> score;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_SAMPLE_H_
