#ifndef BRIARSPREAD_ROLLOUT_STEP_SPEC_H_
#define BRIARSPREAD_ROLLOUT_STEP_SPEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

inline constexpr std::uint32_t kMaxSamplesPerGroup = 4096;
inline constexpr std::uint32_t kMaxSamplesPerStep = 65536;
inline constexpr std::uint32_t kMaxTokensPerSample = 1'000'000;

/// One group of a step: samples of one prompt, delivered together.
struct GroupSpec {
  /// Unique within its step.
  GroupId id;
  /// What the engines complete.
  std::string prompt;
};

/// What a trainer asks for in one step.
struct StepSpec {
  /// The model that samples.
  ModelName model;
  /// The most tokens a sample may have.
  std::uint32_t max_tokens = 16;
  /// Samples in each group.
  std::uint32_t samples_per_group = 1;
  /// How many versions a delivered sample may be behind.
  std::uint64_t staleness_bound = 0;
  /// The service that scores samples; empty where none does.
  ServiceName scorer;
  /// In ascending order of ids.
  std::vector<GroupSpec> groups;

  /// Samples of all groups. Thread-safe.
  std::size_t SampleCount() const { return groups.size() * samples_per_group; }
};

/// Reads the JSON body of a step. The error names the field, what was found and
/// what is allowed. Thread-safe.
Result<StepSpec> ParseStepSpec(std::string_view body);

/// A digest of all that the step asks for, the same on every instance.
/// Thread-safe.
std::uint64_t DigestOf(const StepSpec& spec);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STEP_SPEC_H_
