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

/// Outcome of a run.
enum class RunOutcome {
  /// The stream ended normally.
  kComplete,
  /// The engine did not execute the request: it is full or is loading weights.
  kRefused,
  /// The engine answered that the request failed.
  kFailed,
  /// The engine answered that the request can never succeed.
  kImpossible,
  /// The stream broke off, stalled or was malformed, or the answer was
  /// unexpected.
  kBroken,
  /// The weights on the engine are too old for the item.
  kTooOld,
};

/// Returns the name of an outcome for logs and metrics. Thread-safe.
std::string_view ToString(RunOutcome outcome);

class ItemRun;

/// Receives the events and the end of a run. Called on the loop's thread.
class ItemRunListener {
 public:
  virtual ~ItemRunListener() = default;
  /// Called for each event, with the version that generated it. Returns false
  /// to end the run as broken.
  virtual bool OnRunEvent(ItemRun& run, const proxy::StreamEvent& event,
                          WeightVersion version) = 0;
  /// Called once the run has ended. The callee may destroy the run.
  virtual void OnRunEnded(ItemRun& run, RunOutcome outcome) = 0;
};

/// Parameters of a run.
struct ItemRunSpec {
  JobId job;
  std::size_t item = 0;
  UpstreamId engine;
  Endpoint endpoint;
  /// Version of the engine's software, and the engine's start that has it.
  SoftwareVersion software;
  std::uint64_t start_id = 0;
  /// The request, without the headers that `ItemRun` sets.
  proxy::Request request;
  /// Attempt id of the request, which the engine echoes.
  std::string attempt_id;
  ModelName model;
  WeightVersion oldest_allowed;
  /// Id of the last event that earlier runs received; the run resumes after it.
  std::optional<std::uint64_t> last_event_id;
};

/// A single run of an item on an engine. Loop's thread only.
class ItemRun final : public proxy::ExchangeListener {
 public:
  /// Precondition: references outlive this object.
  ItemRun(forward::ForwardContext& context, ItemRunSpec spec,
          ItemRunListener& listener);
  ~ItemRun() override;

  void Start();
  /// Ends the run without calling the listener.
  void Cancel();

  const ItemRunSpec& spec() const { return spec_; }
  TimePoint started() const { return started_; }
  /// Time of the last event; before the first one, the time of the response
  /// head or of the start.
  TimePoint last_event() const { return last_event_; }
  std::uint64_t events() const { return events_; }
  /// Returns the outcome if the run is ended now: the one that the response
  /// head announced, or `kBroken` for an unfinished stream.
  RunOutcome OutcomeIfEnded() const {
    return expected_outcome_ == RunOutcome::kComplete ? RunOutcome::kBroken
                                                      : expected_outcome_;
  }

  void OnHead(const proxy::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailure(const proxy::ExchangeFailure& failure) override;

 private:
  RunOutcome OutcomeOf(const proxy::ResponseHead& head) const;
  /// Discards body bytes of a response that is not a stream. Ends the run once
  /// there are too many.
  void DiscardBody(std::size_t bytes);
  void ReportOutcome(RunOutcome outcome);
  void End(RunOutcome outcome);
  void UpdateEventInterval(TimePoint now);
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
  /// The version that generates the following events; zero until it is known.
  WeightVersion version_;
  /// The outcome that the response head announces; `kComplete` for a stream.
  RunOutcome expected_outcome_ = RunOutcome::kComplete;
  /// Discarded body bytes of a response that is not a stream.
  std::size_t discarded_bytes_ = 0;
  bool has_ended_ = false;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ITEM_RUN_H_
