#include "briarspread/client/paced_calls.h"

#include <cassert>
#include <utility>

namespace briarspread {

PacedCalls::PacedCalls(const PacedCallsSettings& settings, const Clock& clock,
                       Call call)
    : settings_(settings),
      clock_(clock),
      call_(std::move(call)),
      start_(clock.Now()) {
  assert(settings.calls_per_second > 0);
  for (std::uint32_t i = 0; i < settings.threads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

PacedCalls::~PacedCalls() { Wait(); }

void PacedCalls::Wait() {
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

void PacedCalls::Run() {
  while (true) {
    const std::uint64_t n = next_++;
    const std::chrono::duration<double> offset(static_cast<double>(n) /
                                               settings_.calls_per_second);
    if (offset >= settings_.duration) return;
    const auto due = start_ + std::chrono::duration_cast<Duration>(offset);
    std::this_thread::sleep_for(due - clock_.Now());
    call_(n);
  }
}

}  // namespace briarspread
