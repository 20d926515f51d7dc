#ifndef BRIARSPREAD_CLIENT_PACED_CALLS_H_
#define BRIARSPREAD_CLIENT_PACED_CALLS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of `PacedCalls`.
struct PacedCallsSettings {
  /// Calls started per second; must be above zero.
  double calls_per_second = 1.0;
  /// Period during which calls are started.
  milliseconds duration{1000};
  /// Number of threads that make calls; also the maximum number of calls in
  /// flight.
  std::uint32_t threads = 16;
};

/// Makes calls at a constant rate on background threads. Calls start late, but
/// are not dropped, while all threads are busy.
class PacedCalls {
 public:
  /// Makes call number `n`, counted from zero. Must be thread-safe.
  using Call = std::function<void(std::uint64_t n)>;

  /// Starts the calls. Preconditions: `settings.calls_per_second` is above
  /// zero; `clock` outlives this object.
  PacedCalls(const PacedCallsSettings& settings, const Clock& clock, Call call);
  /// Blocks until the last call has ended.
  ~PacedCalls();
  PacedCalls(const PacedCalls&) = delete;
  PacedCalls& operator=(const PacedCalls&) = delete;

  /// Blocks until the last call has ended.
  void Wait();

 private:
  /// The loop of each thread.
  void Run();

  const PacedCallsSettings settings_;
  const Clock& clock_;
  const Call call_;
  /// Scheduled start time of the first call.
  const TimePoint start_;
  /// Number of the next call.
  std::atomic<std::uint64_t> next_{0};
  std::vector<std::thread> threads_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_PACED_CALLS_H_
