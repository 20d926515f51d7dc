#include "briarspread/admission/admission_gate.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace briarspread {
namespace {

AdmissionRequest Live(std::uint32_t queue_length = 100) {
  return {RequestClass("quote"), 5, false, queue_length};
}

void WaitForQueued(const AdmissionGate& gate, std::size_t n) {
  while (gate.queued() != n) std::this_thread::yield();
}

constexpr seconds kFarAway{3600};

TEST_CASE("the end of a permit admits the next waiting thread") {
  const SystemClock clock;
  AdmissionGate gate(AdmissionQueueSettings{}, {1, 1}, clock);
  auto first = gate.Enter(Live(), clock.Now() + kFarAway);
  REQUIRE(IsOk(first));
  std::atomic<bool> entered{false};
  std::thread second([&] {
    const auto permit = gate.Enter(Live(), clock.Now() + kFarAway);
    entered = IsOk(permit);
  });
  WaitForQueued(gate, 1);
  REQUIRE_FALSE(entered);
  first = Error{};
  second.join();
  REQUIRE(entered);
  REQUIRE(gate.running() == 0);
}

TEST_CASE("no more threads are admitted at a time than there are slots") {
  const SystemClock clock;
  AdmissionGate gate(AdmissionQueueSettings{}, {3, 3}, clock);
  std::atomic<int> inside{0};
  std::atomic<int> most{0};
  std::atomic<int> served{0};
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 200; ++n) {
        const auto permit = gate.Enter(Live(), clock.Now() + kFarAway);
        const int now = ++inside;
        int seen = most.load();
        while (now > seen && !most.compare_exchange_weak(seen, now)) {
        }
        if (IsOk(permit)) ++served;
        --inside;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  REQUIRE(served == 1600);
  REQUIRE(most <= 3);
}

TEST_CASE("a full queue refuses a request without waiting") {
  const SystemClock clock;
  AdmissionGate gate(AdmissionQueueSettings{}, {1, 1}, clock);
  const auto first = gate.Enter(Live(), clock.Now() + kFarAway);
  const auto refused = gate.Enter(Live(0), clock.Now() + kFarAway);
  REQUIRE_FALSE(IsOk(refused));
  REQUIRE(ErrorOf(refused).retry_after.has_value());
}

TEST_CASE("a waiting thread is refused when its deadline cannot be met") {
  const SystemClock clock;
  AdmissionGate gate(AdmissionQueueSettings{milliseconds(1)}, {1, 1}, clock);
  const auto held = gate.Enter(Live(), clock.Now() + kFarAway);
  // The first permit is held while the second request waits.
  const auto refused = gate.Enter(Live(), clock.Now() + milliseconds(30));
  REQUIRE_FALSE(IsOk(refused));
  REQUIRE(ErrorOf(refused).verdict == Verdict::kNotRun);
}

TEST_CASE("closing refuses waiting requests and lets running ones continue") {
  const SystemClock clock;
  AdmissionGate gate(AdmissionQueueSettings{}, {1, 1}, clock);
  const auto held = gate.Enter(Live(), clock.Now() + kFarAway);
  std::atomic<bool> refused{false};
  std::thread waiting(
      [&] { refused = !IsOk(gate.Enter(Live(), clock.Now() + kFarAway)); });
  WaitForQueued(gate, 1);
  gate.Close();
  waiting.join();
  REQUIRE(refused);
  REQUIRE(gate.running() == 1);
}

TEST_CASE("a larger capacity admits waiting threads") {
  const SystemClock clock;
  AdmissionGate gate(AdmissionQueueSettings{}, {1, 1}, clock);
  const auto held = gate.Enter(Live(), clock.Now() + kFarAway);
  std::thread waiting(
      [&] { const auto permit = gate.Enter(Live(), clock.Now() + kFarAway); });
  WaitForQueued(gate, 1);
  gate.SetCapacity({2, 2});
  waiting.join();
  REQUIRE(gate.running() == 1);
}

}  // namespace
}  // namespace briarspread
