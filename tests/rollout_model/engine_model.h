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

/// A run on a model engine, with the versions that truly made its tokens.
struct EngineRun {
  /// The instance that ordered it, and the instance's start.
  std::size_t instance = 0;
  std::uint64_t incarnation = 0;
  RunId id;
  std::uint32_t length = 0;
  /// Tokens made so far, with the part of the next one.
  double made = 0;
  std::vector<VersionSpan> spans;
  /// Changes whenever the run's end moves.
  std::uint64_t timer = 0;
};

/// A small model of an engine: slots, a token rate, weight swaps that pause it.
/// Not thread-safe.
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

  /// Makes tokens up to `now`.
  void Advance(TimePoint now);
  /// Loads `version`; no tokens are made until `resumes`.
  void Swap(WeightVersion version, TimePoint now, TimePoint resumes);
  /// Reports the loaded version, as the load report does with a lag.
  void Report() { reported_ = version_; }
  /// Takes a run in; it goes on from the tokens it has. Returns its key.
  std::uint64_t Start(EngineRun run, TimePoint now);
  /// When the run ends if nothing changes.
  TimePoint EndOf(const EngineRun& run) const;
  /// Loses the engine; returns the runs it had, made so far.
  std::vector<EngineRun> Lose(TimePoint now);
  void Recover(WeightVersion version, TimePoint now);

 private:
  const UpstreamId name_;
  const std::size_t slots_;
  const double rate_;
  bool is_up_ = true;
  WeightVersion version_{1};
  WeightVersion reported_{1};
  /// Up to when tokens are made; later than now during a swap.
  TimePoint made_until_{};
  std::map<std::uint64_t, EngineRun> runs_;
  std::uint64_t last_key_ = 0;
};

/// The spans as text, which a sample carries as the truth about itself.
std::string FormatTruth(const std::vector<VersionSpan>& spans);

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_ENGINE_MODEL_H_
