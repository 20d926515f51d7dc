#ifndef BRIARSPREAD_GATEWAY_TRAINER_HANDLER_H_
#define BRIARSPREAD_GATEWAY_TRAINER_HANDLER_H_

#include <httplib.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "briarspread/gateway/upstream_call.h"

namespace briarspread {

/// Serves trainers: `PUT /v1/trainers/{trainer}/steps/{step}` and
/// `GET /v1/trainers/{trainer}/batches`. Thread-safe.
class TrainerHandler {
 public:
  /// Precondition: all arguments outlive this object.
  TrainerHandler(ControlState& state, UpstreamCaller& caller,
                 const Clock& clock, std::size_t workers);
  ~TrainerHandler();
  TrainerHandler(const TrainerHandler&) = delete;
  TrainerHandler& operator=(const TrainerHandler&) = delete;

  /// Adds the routes. Call before the server starts.
  void AddRoutes(httplib::Server& routes);
  /// Starts no further samples and ends the workers.
  void Stop();

 private:
  using StepKey = std::pair<TrainerId, StepNumber>;

  /// One group of samples of a step.
  struct Group {
    std::string prompt;
    /// Finished samples, as JSON text.
    std::vector<std::string> samples;
    std::uint32_t wanted = 0;
  };
  /// One step of a trainer.
  struct Step {
    std::string model;
    std::uint32_t max_tokens = 0;
    std::map<GroupId, Group> groups;
  };
  /// One sample to run.
  struct Task {
    StepKey step;
    GroupId group;
    SampleIndex sample;
  };

  void PutStep(const httplib::Request& in, httplib::Response& out);
  void GetBatch(const httplib::Request& in, httplib::Response& out);
  void RunTasks();
  void RunTask(const Task& task);

  ControlState& state_;
  UpstreamCaller& caller_;
  const Clock& clock_;
  /// Guards all below.
  std::mutex mutex_;
  /// Wakes workers and long polls.
  std::condition_variable changed_;
  std::map<StepKey, Step> steps_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  /// Run samples.
  std::vector<std::thread> workers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_TRAINER_HANDLER_H_
