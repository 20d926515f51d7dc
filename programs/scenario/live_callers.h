#ifndef PROGRAMS_SCENARIO_LIVE_CALLERS_H_
#define PROGRAMS_SCENARIO_LIVE_CALLERS_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "briarspread/client/caller_client.h"
#include "briarspread/client/paced_calls.h"
#include "briarspread/history/history.h"

namespace briarspread {

/// What a group of callers sends.
struct CallerPlan {
  /// `quote` (non-idempotent completions), `order` (non-idempotent calls of a
  /// plain service) or `check` (idempotent calls of a plain service).
  std::string kind = "quote";
  /// The model or service called.
  std::string target;
  double rate = 20;
  milliseconds length{10000};
  std::uint32_t threads = 32;
  milliseconds deadline{4000};
  /// Share of calls that are also sent through another instance at once.
  double twice = 0;
  /// Share of calls whose first send is given up on early and sent again.
  double impatient = 0;
  /// Text added to each body, such as one that crashes upstreams.
  std::string mark;
};

/// Callers that record what they sent and got. Thread-safe.
class LiveCallers {
 public:
  /// Preconditions: `entries` is not empty; the rest outlives this object.
  LiveCallers(std::vector<Endpoint> entries, UpstreamClient& client,
              const Clock& clock, RandomSource& random);

  /// Starts callers by `plan`, in the background.
  void Start(const CallerPlan& plan);
  /// Waits until all callers have their final answers.
  void Wait();
  /// All calls that have ended.
  std::vector<CallRecord> records() const;
  /// How many calls ended without an answer, by the error's message.
  std::map<std::string, std::uint64_t> reasons() const;

 private:
  void CallOnce(const CallerPlan& plan, std::uint64_t plan_number,
                std::uint64_t n);
  CallerRequest MakeRequest(const CallerPlan& plan,
                            const std::string& key) const;
  CallerAnswer Send(const CallerPlan& plan, const CallerRequest& request);

  UpstreamClient& client_;
  const Clock& clock_;
  RandomSource& random_;
  /// Calls the entry instances.
  CallerClient caller_;
  /// Numbers the plans, so that keys are unique.
  std::atomic<std::uint64_t> plans_{0};
  /// Guards all below.
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<PacedCalls>> running_;
  std::vector<CallRecord> records_;
  std::map<std::string, std::uint64_t> reasons_;
};

}  // namespace briarspread

#endif  // PROGRAMS_SCENARIO_LIVE_CALLERS_H_
