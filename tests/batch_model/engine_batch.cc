#include "tests/batch_model/engine_batch.h"

#include <algorithm>

namespace briarspread::testing {
namespace {

/// Tolerance for rounding errors, so that a run's last event completes it.
constexpr double kTolerance = 1e-9;

}  // namespace

void EngineBatch::Start(std::uint64_t item, std::uint64_t prompt, double events,
                        double events_done) {
  BatchRun run{item, events, events_done, settings_.item_prompt_tokens};
  const auto at = std::find(cached_.begin(), cached_.end(), prompt);
  if (at == cached_.end()) {
    run.prompt_tokens += settings_.shared_prompt_tokens;
  } else {
    cached_.erase(at);
  }
  cached_.push_back(prompt);
  if (cached_.size() > settings_.max_cached_prompts) {
    cached_.erase(cached_.begin());
  }
  // The events that a resumed run has produced are prefilled with its prompt.
  run.prompt_tokens += events_done * settings_.tokens_per_event;
  runs_.push_back(run);
}

double EngineBatch::Stop(std::uint64_t item) {
  const auto at =
      std::find_if(runs_.begin(), runs_.end(),
                   [item](const BatchRun& run) { return run.item == item; });
  if (at == runs_.end()) return 0;
  const double events_done = at->events_done;
  runs_.erase(at);
  return events_done;
}

void EngineBatch::Load(TimePoint until) {
  loading_until_ = until;
  cached_.clear();
}

Duration EngineBatch::EventInterval() const {
  const double token_ms =
      settings_.base_token_ms +
      settings_.token_ms_per_run * static_cast<double>(runs_.size());
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          token_ms * settings_.tokens_per_event * std::max(1.0, slowdown_)));
}

std::vector<std::uint64_t> EngineBatch::Advance(Duration step) {
  std::vector<std::uint64_t> done;
  if (is_dead()) return done;
  double ms = std::chrono::duration<double, std::milli>(step).count();
  for (BatchRun& run : runs_) {
    const double rate = settings_.prefill_tokens_per_ms / slowdown_;
    const double read = std::min(run.prompt_tokens, ms * rate);
    run.prompt_tokens -= read;
    prefilled_ += read;
    // Prefilling one run delays all runs of the engine.
    ms -= read / rate;
  }
  const double event_ms =
      std::chrono::duration<double, std::milli>(EventInterval()).count();
  for (BatchRun& run : runs_) {
    if (run.prompt_tokens > kTolerance) continue;
    run.events_done = std::min(run.events, run.events_done + ms / event_ms);
    if (run.events_done + kTolerance >= run.events) done.push_back(run.item);
  }
  for (const std::uint64_t item : done) Stop(item);
  return done;
}

}  // namespace briarspread::testing
