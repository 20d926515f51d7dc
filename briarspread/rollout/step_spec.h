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

/// One group of a step: samples of one prompt that are delivered together.
struct GroupSpec {
  /// Unique within its step.
  GroupId id;
  /// The prompt that the engines complete.
  std::string prompt;
};

/// The samples that a trainer requests in one step.
struct StepSpec {
  /// The model to sample with.
  ModelName model;
  /// Maximum number of tokens in a sample.
  std::uint32_t max_tokens = 16;
  /// Number of samples in each group.
  std::uint32_t samples_per_group = 1;
  /// Maximum number of versions by which a delivered sample may be older than
  /// the trainer's newest version.
  std::uint64_t staleness_bound = 0;
  /// The service that scores the samples; empty for none.
  ServiceName scorer;
  /// The groups, in ascending order of ids.
  std::vector<GroupSpec> groups;

  /// Returns the number of samples in all groups. Thread-safe.
  std::size_t SampleCount() const { return groups.size() * samples_per_group; }
};

/// Parses the JSON body of a step. The error, `kInvalidArgument`, names the
/// field and the allowed values, and the value found where there is one.
/// Thread-safe.
Result<StepSpec> ParseStepSpec(std::string_view body);

/// Returns a digest of all fields of `spec`, which is the same on every
/// instance. Thread-safe.
std::uint64_t DigestOf(const StepSpec& spec);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_STEP_SPEC_H_
