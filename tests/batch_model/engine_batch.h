#ifndef TESTS_BATCH_MODEL_ENGINE_BATCH_H_
#define TESTS_BATCH_MODEL_ENGINE_BATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::testing {

/// Speed and capacity of an engine.
struct EngineBatchSettings {
  /// Maximum number of concurrent requests. Enforced by the caller.
  std::uint32_t slots = 12;
  /// The time between two tokens of a run is `base_token_ms` plus
  /// `token_ms_per_run` for each run in the batch, in milliseconds.
  double base_token_ms = 0.723;
  double token_ms_per_run = 0.0252;
  double tokens_per_event = 42;
  double prefill_tokens_per_ms = 220;
  /// Tokens of the part of the prompt that the items of a group share.
  double shared_prompt_tokens = 255;
  /// Tokens of the part of the prompt that belongs to one item.
  double item_prompt_tokens = 16;
  /// Maximum number of shared prompts in the cache.
  std::size_t max_cached_prompts = 64;
  /// Time to load a version while few enough engines load.
  milliseconds load_time{900};
};

/// An item that is running on an engine.
struct BatchRun {
  std::uint64_t item = 0;
  /// Number of events that complete the item.
  double events = 0;
  /// Number of events produced so far, those of earlier runs included.
  double events_done = 0;
  /// Prompt tokens that are still to be prefilled.
  double prompt_tokens = 0;
};

/// A simulated engine that runs all requests in one batch: more requests make
/// each one slower, and prefilling one prompt delays all of them. The caller
/// must not call `Advance` while the engine loads weights. Not thread-safe.
class EngineBatch final {
 public:
  explicit EngineBatch(const EngineBatchSettings& settings)
      : settings_(settings) {}

  /// Starts an item that has already produced `events_done` of its
  /// `events`. `prompt` identifies the prompt that its group shares, which is
  /// prefilled unless it is cached.
  void Start(std::uint64_t item, std::uint64_t prompt, double events,
             double events_done);
  /// Stops an item. Returns the number of events that it has produced; zero if
  /// it is not running.
  double Stop(std::uint64_t item);
  /// Simulates `step` of time. Returns the items that were completed; these are
  /// no longer running.
  std::vector<std::uint64_t> Advance(Duration step);

  /// Loads weights until `until`. Clears the prompt cache.
  void Load(TimePoint until);
  bool IsLoading(TimePoint now) const { return now < loading_until_; }
  /// Sets the factor by which the engine is slower; zero for a dead engine.
  void SetSlowdown(double slowdown) { slowdown_ = slowdown; }
  bool is_dead() const { return slowdown_ == 0; }

  const std::vector<BatchRun>& runs() const { return runs_; }
  /// Returns the time between two events of a run with the current runs.
  Duration EventInterval() const;
  /// Number of prompt tokens prefilled since the start.
  double prefilled() const { return prefilled_; }

 private:
  const EngineBatchSettings settings_;
  std::vector<BatchRun> runs_;
  /// Cached prompts, the least recently used first.
  std::vector<std::uint64_t> cached_;
  TimePoint loading_until_{};
  double slowdown_ = 1;
  double prefilled_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_ENGINE_BATCH_H_
