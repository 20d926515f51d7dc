#ifndef TESTS_SUPPORT_LOOP_RUNNER_H_
#define TESTS_SUPPORT_LOOP_RUNNER_H_

#include <asio/io_context.hpp>
#include <chrono>

namespace briarspread::testing {

/// Runs `loop` until `is_done()` returns true. Returns false after 30 seconds
/// otherwise, which is far more than any test needs, so that the result does
/// not depend on the speed of the machine.
template <typename IsDone>
bool RunUntil(asio::io_context& loop, const IsDone& is_done) {
  constexpr std::chrono::seconds kLimit{30};
  constexpr std::chrono::milliseconds kStep{5};
  const auto deadline = std::chrono::steady_clock::now() + kLimit;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    loop.restart();
    loop.run_one_for(kStep);
  }
  return true;
}

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_LOOP_RUNNER_H_
