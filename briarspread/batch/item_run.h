#ifndef BRIARSPREAD_BATCH_ITEM_RUN_H_
#define BRIARSPREAD_BATCH_ITEM_RUN_H_

#include <memory>
#include <optional>
#include <string>

#include "briarspread/batch/job.h"
#include "briarspread/forward/forward_context.h"
#include "briarspread/proxy/event_stream_reader.h"
#include "briarspread/proxy/exchange.h"

namespace briarspread::batch {

/// How a run ended.
enum class RunOutcome {
  /// The stream ended whole.
  kComplete,
  /// The engine certainly did not run it: full, or loading weights.
  kRefused,
  /// The engine said that it failed.
  kFailed,
  /// The engine said that it can never be done.
  kImpossible,
  /// The stream broke off, or fell silent.
  kBroken,
  /// The engine's weights are too old for the item.
  kTooOld,
};

/// The name of an outcome in logs. Thread-safe.
std::string_view ToString(RunOutcome outcome);

class ItemRun;

/// Hears of a run. Called from the loop.
class ItemRunListener {
 public:
  virtual ~ItemRunListener() = default;
  /// An event, made by `version`. Returns false to end the run as broken.
  virtual bool OnRunEvent(ItemRun& run, const proxy::StreamEvent& event,
                          WeightVersion version) = 0;
  /// The run has ended; it may be destroyed from within.
  virtual void OnRunEnded(ItemRun& run, RunOutcome outcome) = 0;
};

/// What a run is made of.
struct ItemRunSpec {
  JobId job;
  std::size_t item = 0;
  UpstreamId engine;
  Endpoint endpoint;
  /// The whole request but the headers that this system sets.
  proxy::Request request;
  /// The id that the engine echoes.
  std::string attempt_id;
  ModelName model;
  WeightVersion oldest_allowed;
  /// The last event that is at hand; the run goes on after it.
  std::optional<std::uint64_t> last_event_id;
};

/// One run of an item at one engine. Loop's thread only.
class ItemRun final : public proxy::ExchangeListener {
 public:
  /// Precondition: references outlive this object.
  ItemRun(forward::ForwardContext& context, ItemRunSpec spec,
          ItemRunListener& listener);
  ~ItemRun() override;

  void Start();
  /// Ends the run without a word to the listener.
  void Cancel();

  const ItemRunSpec& spec() const { return spec_; }
  TimePoint started() const { return started_; }
  /// When the last event came; the start before the first.
  TimePoint last_event() const { return last_event_; }
  std::uint64_t events() const { return events_; }
  /// How the run ends if it is ended now: what the engine's answer has said
  /// already, or broken off.
  RunOutcome OutcomeIfEnded() const {
    return expected_ == RunOutcome::kComplete ? RunOutcome::kBroken : expected_;
  }

  void OnHead(const proxy::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailure(const proxy::ExchangeFailure& failure) override;

 private:
  RunOutcome OutcomeOf(const proxy::ResponseHead& head) const;
  /// Passes over the body of an answer that is no stream.
  void Drain(std::size_t bytes);
  void NoteOutcome(RunOutcome outcome);
  void End(RunOutcome outcome);
  void NoteInterval(TimePoint now);
  void ReleaseSlot();

  forward::ForwardContext& context_;
  const ItemRunSpec spec_;
  ItemRunListener& listener_;
  std::unique_ptr<proxy::Exchange> exchange_;
  std::shared_ptr<UpstreamCounters> counters_;
  proxy::EventStreamReader reader_;
  TimePoint started_{};
  TimePoint last_event_{};
  std::uint64_t events_ = 0;
  /// The version that makes the events that follow; zero before it is told.
  WeightVersion version_;
  /// What the head says of the outcome; complete for a stream.
  RunOutcome expected_ = RunOutcome::kComplete;
  /// Bytes of an answer that is no stream.
  std::size_t drained_ = 0;
  bool has_ended_ = false;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ITEM_RUN_H_
