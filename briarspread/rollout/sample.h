#ifndef BRIARSPREAD_ROLLOUT_SAMPLE_H_
#define BRIARSPREAD_ROLLOUT_SAMPLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/version_span.h"

namespace briarspread {

/// Identifies one run of a sample on an engine. Assigned by the scheduler and
/// never reused.
using RunId = StrongValue<struct RunIdTag, std::uint64_t>;

/// Position of a sample within its step.
struct SamplePlace {
  /// Index of the group, in ascending order of group ids.
  std::uint32_t group = 0;
  /// Index of the sample within the group.
  SampleIndex sample;

  friend auto operator<=>(const SamplePlace&, const SamplePlace&) = default;
};

/// A sample that an engine has finished.
struct FinishedSample {
  /// The run that produced the sample; distinguishes it from a later sample in
  /// the same place.
  RunId run;
  /// The generated text.
  std::string text;
  /// Number of generated tokens.
  std::uint32_t tokens = 0;
  /// The weight versions that generated the tokens, as reported by the engine.
  std::vector<VersionSpan> versions;
  /// The scoring service's result as JSON text; nothing before it is known or
  /// if the step names no scorer.
  std::optional<std::string> score;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_SAMPLE_H_
