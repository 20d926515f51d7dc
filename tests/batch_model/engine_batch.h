#ifndef TESTS_BATCH_MODEL_ENGINE_BATCH_H_
#define TESTS_BATCH_MODEL_ENGINE_BATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::testing {

/// How an engine works.
struct EngineBatchSettings {
  /// Requests at once.
  std::uint32_t slots = 12;
  /// Milliseconds between two tokens of a run: alone, and for each run beside.
  double step_ms = 0.723;
  double step_ms_a_run = 0.0252;
  /// Tokens in one event.
  double tokens_an_event = 42;
  double prefill_tokens_a_ms = 220;
  /// Tokens of a group's prompt, and of an item's own.
  double shared_prompt_tokens = 255;
  double own_prompt_tokens = 16;
  /// Prompts that stay cached.
  std::size_t cached_prompts = 64;
  milliseconds load_time{900};
};

/// One item that runs at an engine.
struct BatchRun {
  std::uint64_t item = 0;
  /// Events that it makes in all, and has made.
  double events = 0;
  double made = 0;
  /// Prompt tokens that are still to be read.
  double prompt_tokens = 0;
};

/// A model of an engine that runs requests in one batch: the more run, the
/// slower each; prompts are read between the tokens of the others; while it
/// loads weights, nothing is made. Not thread-safe.
class EngineBatch final {
 public:
  explicit EngineBatch(const EngineBatchSettings& settings)
      : settings_(settings) {}

  /// Takes an item that goes on from the events it has. `prompt` names what its
  /// group shares; read again unless it is cached.
  void Start(std::uint64_t item, std::uint64_t prompt, double events,
             double made);
  /// Ends an item; returns the events it has made.
  double Stop(std::uint64_t item);
  /// Works for `step`; returns the items that are whole.
  std::vector<std::uint64_t> Work(Duration step);

  /// Loads weights until `until`; what is cached is of no use afterwards.
  void Load(TimePoint until);
  bool IsLoading(TimePoint now) const { return now < loads_until_; }
  /// Sets how many times slower it works; zero for dead.
  void SetSlower(double slower) { slower_ = slower; }
  bool is_dead() const { return slower_ == 0; }

  const std::vector<BatchRun>& runs() const { return runs_; }
  /// Time between two events of a run now.
  Duration EventInterval() const;
  /// Prompt tokens read since the start.
  double prefilled() const { return prefilled_; }

 private:
  const EngineBatchSettings settings_;
  std::vector<BatchRun> runs_;
  /// Cached prompts, the oldest first.
  std::vector<std::uint64_t> cached_;
  TimePoint loads_until_{};
  double slower_ = 1;
  double prefilled_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_ENGINE_BATCH_H_
