#ifndef BRIARSPREAD_GATEWAY_TRAINER_HANDLER_H_
#define BRIARSPREAD_GATEWAY_TRAINER_HANDLER_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "briarspread/gateway/upstream_call.h"
#include "briarspread/rollout/rollout_scheduler.h"

namespace briarspread {

/// Settings of `TrainerHandler`.
struct TrainerHandlerSettings {
  /// Maximum number of samples that this instance runs at once, one thread
  /// each.
  std::size_t workers = 64;
  /// Time that a request for a batch waits for a group.
  milliseconds long_poll_timeout{2000};
  /// Deadline of one run of a sample.
  seconds sample_deadline{600};
  /// Deadline of one scoring call.
  seconds scoring_deadline{30};
  /// Interval at which an idle worker polls for work that has become due.
  milliseconds idle_poll_interval{100};
  /// Time that a worker waits after a failed run.
  milliseconds failure_backoff{200};
  /// Interval at which the progress of a run is reported to the scheduler.
  milliseconds progress_interval{200};
  RolloutSchedulerSettings scheduler;
};

/// Serves trainers: `PUT /v1/trainers/{trainer}/steps/{step}` and
/// `GET /v1/trainers/{trainer}/batches`. Runs the samples of the submitted
/// steps in the order that `RolloutScheduler` decides. Thread-safe.
class TrainerHandler {
 public:
  /// Preconditions: all arguments outlive this object; `cursor_key` is the same
  /// on all instances.
  TrainerHandler(const TrainerHandlerSettings& settings,
                 const std::string& cursor_key, ControlState& state,
                 UpstreamCaller& caller, const Clock& clock);
  ~TrainerHandler();
  TrainerHandler(const TrainerHandler&) = delete;
  TrainerHandler& operator=(const TrainerHandler&) = delete;

  /// Registers the routes. Call before the server starts.
  void AddRoutes(httplib::Server& routes);
  /// Cancels the samples in flight, which any instance can run again, and joins
  /// the worker threads.
  void Stop();
  /// Returns the statistics of each trainer as JSON text.
  std::string StatsJson();

 private:
  /// Reads the rules in force for trainers.
  class RulesInForce final : public TrainerRules {
   public:
    explicit RulesInForce(const ControlState& state) : state_(state) {}
    TrainerRule RuleOf(const TrainerId& trainer) const override {
      return state_.rules.Read()->TrainerRuleOf(trainer);
    }
    std::optional<double> StalenessWeight() const override {
      return state_.rules.Read()->StalenessWeight();
    }

   private:
    const ControlState& state_;
  };
  /// Reads the weight versions that engines last reported.
  class ReportedVersions final : public ServedVersions {
   public:
    explicit ReportedVersions(const ControlState& state) : state_(state) {}
    std::optional<WeightVersion> NewestServed(
        const ModelName& model) const override;

   private:
    const ControlState& state_;
  };
  /// Set to cancel a run; read by the worker that runs it.
  using CancelFlag = std::shared_ptr<std::atomic<bool>>;

  void PutStep(const httplib::Request& in, httplib::Response& out);
  void GetBatch(const httplib::Request& in, httplib::Response& out);
  bool IsDraining() const { return stopping_ || state_.draining.load(); }

  void RunTasks();
  void RunSample(const SampleRun& run, const CancelFlag& cancelled);
  void RunScoring(const ScoringTask& task);
  CallSpec MakeSpec(const SampleRun& run) const;
  void ReportProgress(RunId run, const CompletionStream& text);
  void CancelRuns();
  void WaitAfterFailure();

  const TrainerHandlerSettings settings_;
  ControlState& state_;
  UpstreamCaller& caller_;
  const Clock& clock_;
  const RulesInForce rules_;
  const ReportedVersions versions_;
  /// Guards `scheduler_` and `cancel_flags_`.
  std::mutex mutex_;
  /// Notified when work is added or finished; workers and long polls wait on
  /// it.
  std::condition_variable changed_;
  RolloutScheduler scheduler_;
  /// Cancel flags of the runs in progress on this instance.
  std::map<RunId, CancelFlag> cancel_flags_;
  std::atomic<bool> stopping_{false};
  /// Threads that run samples and scoring calls.
  std::vector<std::thread> workers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_TRAINER_HANDLER_H_
