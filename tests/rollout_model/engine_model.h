#ifndef TESTS_ROLLOUT_MODEL_ENGINE_MODEL_H_
#define TESTS_ROLLOUT_MODEL_ENGINE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/rollout/rollout_scheduler.h"

namespace briarspread::testing {

/// A run on a simulated engine, with the versions that generated its tokens.
struct EngineRun {
  /// The instance that started the run, and its incarnation.
  std::size_t instance = 0;
  std::uint64_t incarnation = 0;
  RunId id;
  /// Number of tokens of the whole sample.
  std::uint32_t length = 0;
  /// Number of tokens generated so far, including a fraction of the next one.
  double generated_tokens = 0;
  std::vector<VersionSpan> spans;
  /// Id of the timer for the run's end; changes whenever the end changes.
  std::uint64_t timer = 0;
};

/// Simulation of an engine with slots, a token rate, and weight swaps that
/// pause the generation of tokens. Not thread-safe.
class EngineModel final : public ServedVersions {
 public:
  EngineModel(std::string name, std::size_t slots, double tokens_per_second)
      : name_(std::move(name)), slots_(slots), rate_(tokens_per_second) {}

  std::optional<WeightVersion> NewestServed(
      const ModelName& /*model*/) const override {
    return reported_;
  }
  const UpstreamId& name() const { return name_; }
  bool HasFreeSlot() const { return is_up_ && runs_.size() < slots_; }
  bool is_up() const { return is_up_; }
  WeightVersion version() const { return version_; }
  std::map<std::uint64_t, EngineRun>& runs() { return runs_; }

  /// Generates tokens up to `now`.
  void Advance(TimePoint now);
  /// Loads `version`. No tokens are generated until `resumes`.
  void Swap(WeightVersion version, TimePoint now, TimePoint resumes);
  /// Makes the loaded version the reported one. Load reports lag behind.
  void Report() { reported_ = version_; }
  /// Starts a run, which continues from its generated tokens. Returns the run's
  /// key in `runs`.
  std::uint64_t Start(EngineRun run, TimePoint now);
  /// Returns when the run will end if nothing changes.
  TimePoint EndOf(const EngineRun& run) const;
  /// Makes the engine fail and returns its runs with their progress.
  std::vector<EngineRun> Fail(TimePoint now);
  void Recover(WeightVersion version, TimePoint now);

 private:
  const UpstreamId name_;
  const std::size_t slots_;
  const double rate_;
  bool is_up_ = true;
  WeightVersion version_{1};
  WeightVersion reported_{1};
  /// Time up to which tokens have been generated; in the future during a swap.
  TimePoint generated_until_{};
  std::map<std::uint64_t, EngineRun> runs_;
  std::uint64_t last_key_ = 0;
};

/// Returns the spans as text. Simulated samples have the versions that
/// generated their tokens as their text.
std::string FormatSpans(const std::vector<VersionSpan>& spans);

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_ENGINE_MODEL_H_
