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
  /// Calls a second; above zero.
  double rate = 1.0;
  /// How long calls are started.
  milliseconds length{1000};
  /// Threads that carry calls; bounds the calls in flight.
  std::uint32_t threads = 16;
};

/// Makes calls at a steady rate, on threads of its own.
class PacedCalls {
 public:
  /// Makes call number `n`. Must be safe to call from several threads.
  using Call = std::function<void(std::uint64_t n)>;

  /// Starts at once. Preconditions: `settings.rate` > 0; `clock` outlives this.
  PacedCalls(const PacedCallsSettings& settings, const Clock& clock, Call call);
  /// Waits for all calls.
  ~PacedCalls();
  PacedCalls(const PacedCalls&) = delete;
  PacedCalls& operator=(const PacedCalls&) = delete;

  /// Waits until the last call has ended.
  void Wait();

 private:
  void Run();

  const PacedCallsSettings settings_;
  const Clock& clock_;
  const Call call_;
  /// When the first call was due.
  const TimePoint start_;
  /// The next call's number.
  std::atomic<std::uint64_t> next_{0};
  std::vector<std::thread> threads_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_PACED_CALLS_H_
