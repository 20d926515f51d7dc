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

/// The load of a group of callers.
struct CallerPlan {
  /// `quote` (non-idempotent completions), `order` (non-idempotent calls of a
  /// plain service) or `check` (idempotent calls of a plain service).
  std::string kind = "quote";
  /// The model or service called.
  std::string target;
  /// Calls per second.
  double calls_per_second = 20;
  /// Period during which calls are started.
  milliseconds duration{10000};
  /// Maximum number of calls in flight.
  std::uint32_t threads = 32;
  /// Maximum duration of a call, including retries.
  milliseconds deadline{4000};
  /// Fraction of calls that are sent twice at the same time, through different
  /// instances.
  double duplicate_fraction = 0;
  /// Fraction of calls that are first made with a deadline of 15 ms and then
  /// made again with the full deadline.
  double early_retry_fraction = 0;
  /// Text added to each request body, such as one that crashes upstreams.
  std::string mark;
};

/// Callers that record their requests and responses. Thread-safe.
class LiveCallers {
 public:
  /// Preconditions: `entries` is not empty; the other arguments outlive this
  /// object.
  LiveCallers(std::vector<Endpoint> entries, UpstreamClient& client,
              const Clock& clock, RandomSource& random);

  /// Starts callers that send the load of `plan` in the background.
  void Start(const CallerPlan& plan);
  /// Blocks until all calls of the callers started so far have ended.
  void Wait();
  /// Returns the records of all calls that have ended.
  std::vector<CallRecord> records() const;
  /// Returns the number of calls that ended without a response, by verdict and
  /// error message.
  std::map<std::string, std::uint64_t> reasons() const;

 private:
  void MakeCall(const CallerPlan& plan, std::uint64_t plan_number,
                std::uint64_t n);
  CallerRequest MakeRequest(const CallerPlan& plan,
                            const std::string& key) const;
  CallerAnswer Send(const CallerPlan& plan, const CallerRequest& request);

  UpstreamClient& client_;
  const Clock& clock_;
  RandomSource& random_;
  CallerClient caller_;
  /// Number of plans started; part of the keys, which makes them unique.
  std::atomic<std::uint64_t> plans_{0};
  /// Guards the members below.
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<PacedCalls>> running_;
  std::vector<CallRecord> records_;
  std::map<std::string, std::uint64_t> reasons_;
};

}  // namespace briarspread

#endif  // PROGRAMS_SCENARIO_LIVE_CALLERS_H_
