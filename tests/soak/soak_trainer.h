#ifndef TESTS_SOAK_SOAK_TRAINER_H_
#define TESTS_SOAK_SOAK_TRAINER_H_

#include <string>
#include <vector>

#include "tests/platform/store_stand_in.h"
#include "tests/soak/soak_callers.h"

namespace briarspread::soak {

/// A trainer. Submits a step, reads its results from random edges until all are
/// there or time is up, ends the step and publishes the next weight version.
/// Used on the loop's thread only.
class SoakTrainer final {
 public:
  SoakTrainer(asio::io_context& loop, const Clock& clock, EdgeCaller& caller,
              SoakRecord& record, platform::StoreStandIn& store,
              std::size_t number);

  void Start() { Submit(); }
  /// Lets the current step finish and starts no further one.
  void Stop() { is_stopping_ = true; }
  bool is_idle() const { return is_idle_; }
  std::uint64_t steps() const { return step_; }
  /// Reads all results of a job from an edge. `done` is called with whether the
  /// read succeeded.
  void ReadFromStart(const std::string& job, std::size_t edge,
                     std::function<void(bool)> done);

 private:
  void Submit();
  void SendSubmission();
  void OnSubmitted(const proxy::CallResult& result);
  void Read();
  void End();
  void PublishVersion();
  bool ProcessPage(const std::string& job, std::size_t after,
                   const proxy::CallResult& result);
  std::string Prefix() const;

  const Clock& clock_;
  EdgeCaller& caller_;
  SoakRecord& record_;
  platform::StoreStandIn& store_;
  const std::size_t number_;
  LoopTimer timer_;
  std::uint64_t step_ = 0;
  std::uint64_t version_ = 1;
  std::string job_;
  std::string body_;
  std::size_t items_ = 0;
  TimePoint deadline_{};
  /// Whether an edge may have accepted the submission.
  bool may_be_accepted_ = false;
  bool is_stopping_ = false;
  bool is_idle_ = false;
};

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_SOAK_TRAINER_H_
