#ifndef TESTS_SUPPORT_LOOP_RUNNER_H_
#define TESTS_SUPPORT_LOOP_RUNNER_H_

#include <asio/io_context.hpp>
#include <chrono>

namespace briarspread::testing {

/// Runs `loop` until `is_done()` says so. False where that never comes: the
/// limit is far beyond what any test needs, and nothing is asserted about time.
template <typename IsDone>
bool RunUntil(asio::io_context& loop, const IsDone& is_done) {
  constexpr std::chrono::seconds kLimit{30};
  constexpr std::chrono::milliseconds kStep{5};
  const auto give_up = std::chrono::steady_clock::now() + kLimit;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() > give_up) return false;
    loop.restart();
    loop.run_one_for(kStep);
  }
  return true;
}

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_LOOP_RUNNER_H_
