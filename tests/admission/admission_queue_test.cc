#include "briarspread/admission/admission_queue.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

#include "tests/support/manual_clock.h"

namespace briarspread {
namespace {

using testing::ManualClock;

constexpr seconds kService{1};

AdmissionRequest Live(int level = 5, std::uint32_t queue_length = 100) {
  return {RequestClass("quote"), level, false, queue_length};
}

AdmissionRequest Rollout(std::uint32_t queue_length = 100) {
  return {RequestClass("rollout"), 5, true, queue_length};
}

/// An admission queue with its clock and its running requests.
struct QueueFixture {
  explicit QueueFixture(AdmissionCapacity capacity)
      : queue(AdmissionQueueSettings{kService}, capacity) {}

  /// Enqueues a request whose deadline is `budget` from now, and starts all
  /// requests that can start.
  Result<AdmissionTicket> EnqueueAndStart(const AdmissionRequest& request,
                                          Duration budget) {
    auto result = queue.Enqueue(request, clock.Now() + budget, clock.Now());
    StartReady();
    return result;
  }
  void StartReady() {
    while (const auto ticket = queue.PopReady(clock.Now())) {
      running.push_back({*ticket, clock.Now()});
      started.push_back(*ticket);
    }
  }
  /// Advances the clock by `time` in steps of 1 ms. Each request runs for
  /// `kService`.
  void Run(Duration time) {
    for (Duration t{}; t < time; t += milliseconds(1)) {
      clock.Advance(milliseconds(1));
      FinishDue();
      StartReady();
      while (queue.PopExpired(clock.Now())) ++expired;
    }
  }
  void FinishDue() {
    std::erase_if(running, [this](const Running& request) {
      const bool is_due = clock.Now() - request.since >= kService;
      if (is_due) queue.Finish(request.ticket, clock.Now());
      return is_due;
    });
  }

  struct Running {
    AdmissionTicket ticket;
    TimePoint since;
  };
  ManualClock clock;
  AdmissionQueue queue;
  std::vector<Running> running;
  std::vector<AdmissionTicket> started;
  int expired = 0;
};

TEST_CASE("requests run in the order live before rollout, level, deadline") {
  QueueFixture fixture({1, 1});
  fixture.EnqueueAndStart(Live(), seconds(60));
  const auto rollout = ValueOf(fixture.EnqueueAndStart(Rollout(), seconds(20)));
  const auto late = ValueOf(fixture.EnqueueAndStart(Live(3), seconds(60)));
  const auto early = ValueOf(fixture.EnqueueAndStart(Live(3), seconds(30)));
  const auto first = ValueOf(fixture.EnqueueAndStart(Live(0), seconds(60)));
  fixture.started.clear();
  fixture.Run(seconds(5));
  REQUIRE(fixture.started ==
          std::vector<AdmissionTicket>{first, early, late, rollout});
}

TEST_CASE("rollouts do not use the slots of the reserve") {
  QueueFixture fixture({4, 3});
  for (int i = 0; i < 6; ++i) fixture.EnqueueAndStart(Rollout(), seconds(60));
  REQUIRE(fixture.running.size() == 3);
  fixture.EnqueueAndStart(Live(), seconds(60));
  REQUIRE(fixture.running.size() == 4);
}

TEST_CASE("a request whose expected wait exceeds its deadline is refused") {
  QueueFixture fixture({1, 1});
  fixture.EnqueueAndStart(Live(), seconds(60));
  REQUIRE(IsOk(fixture.EnqueueAndStart(Live(), seconds(2))));
  const auto refused = fixture.EnqueueAndStart(Live(), milliseconds(2500));
  REQUIRE_FALSE(IsOk(refused));
  REQUIRE(ErrorOf(refused).code == ErrorCode::kOverloaded);
  REQUIRE(ErrorOf(refused).verdict == Verdict::kNotRun);
  REQUIRE(ErrorOf(refused).retry_after == milliseconds(500));
  // A request of a lower level runs before the one that waits.
  REQUIRE(IsOk(fixture.EnqueueAndStart(Live(0), milliseconds(2500))));
}

TEST_CASE("a queued request that can no longer meet its deadline is refused") {
  QueueFixture fixture({1, 1});
  fixture.EnqueueAndStart(Live(), seconds(60));
  const auto waiting =
      ValueOf(fixture.EnqueueAndStart(Live(), milliseconds(2100)));
  REQUIRE(fixture.queue.NextExpiry() ==
          fixture.clock.Now() + milliseconds(1100) + Duration(1));
  // The running request does not end in time.
  fixture.clock.Advance(milliseconds(1101));
  const auto expired = fixture.queue.PopExpired(fixture.clock.Now());
  REQUIRE(expired.has_value());
  REQUIRE(expired->ticket == waiting);
  REQUIRE(expired->error.verdict == Verdict::kNotRun);
  REQUIRE(expired->error.retry_after.has_value());
  REQUIRE(fixture.queue.queued() == 0);
}

TEST_CASE("a removed request leaves the queue") {
  QueueFixture fixture({1, 1});
  fixture.EnqueueAndStart(Live(), seconds(60));
  const auto ticket = ValueOf(fixture.EnqueueAndStart(Live(), seconds(60)));
  REQUIRE(fixture.queue.Remove(ticket));
  REQUIRE_FALSE(fixture.queue.Remove(ticket));
  REQUIRE_FALSE(fixture.queue.NextExpiry().has_value());
}

TEST_CASE("an idle queue admits a request even if its deadline is too short") {
  QueueFixture fixture({1, 1});
  REQUIRE(IsOk(fixture.EnqueueAndStart(Live(), milliseconds(10))));
}

/// Returns a random request.
AdmissionRequest ArbitraryRequest() {
  const bool is_rollout = *rc::gen::arbitrary<bool>();
  AdmissionRequest request = is_rollout ? Rollout(4) : Live(0, 4);
  request.level = *rc::gen::inRange(0, 3);
  return request;
}

TEST_CASE("limits and order hold under any sequence of events") {
  rc::prop("queue lengths, slots and reserve", [] {
    QueueFixture fixture({3, 2});
    std::map<AdmissionTicket, bool> is_rollout;
    for (int i = 0; i < 60; ++i) {
      const AdmissionRequest request = ArbitraryRequest();
      const milliseconds budget{*rc::gen::inRange(1, 9000)};
      const auto result = fixture.EnqueueAndStart(request, budget);
      if (IsOk(result)) is_rollout[ValueOf(result)] = request.is_rollout;
      fixture.Run(milliseconds(*rc::gen::inRange(0, 400)));
      RC_ASSERT(fixture.queue.QueuedOf(RequestClass("quote")) <= 4U);
      RC_ASSERT(fixture.queue.QueuedOf(RequestClass("rollout")) <= 4U);
      RC_ASSERT(fixture.queue.running() <= 3U);
      const auto rollouts = std::count_if(
          fixture.running.begin(), fixture.running.end(),
          [&](const auto& running) { return is_rollout[running.ticket]; });
      RC_ASSERT(rollouts <= 2);
      // A live request never waits while a slot is free.
      RC_ASSERT(fixture.queue.QueuedOf(RequestClass("quote")) == 0U ||
                fixture.queue.running() == 3U);
    }
  });
}

TEST_CASE("the retry delay ends when the same request would be accepted") {
  rc::prop("refused before the delay, accepted after it", [] {
    QueueFixture fixture({*rc::gen::inRange(1U, 5U), 0});
    const AdmissionRequest request =
        Live(5, *rc::gen::inRange<std::uint32_t>(0, 12));
    const milliseconds budget{*rc::gen::inRange(1001, 6000)};
    std::optional<milliseconds> retry_after;
    for (int i = 0; i < 100 && !retry_after.has_value(); ++i) {
      if (*rc::gen::inRange(0, 4) == 0) fixture.Run(milliseconds(7));
      const auto result = fixture.EnqueueAndStart(request, budget);
      if (!IsOk(result)) retry_after = ErrorOf(result).retry_after;
    }
    RC_ASSERT(retry_after.has_value());
    for (milliseconds t{}; t + milliseconds(1) < *retry_after;
         t += milliseconds(1)) {
      RC_ASSERT(!IsOk(fixture.queue.Enqueue(
          request, fixture.clock.Now() + budget, fixture.clock.Now())));
      fixture.Run(milliseconds(1));
    }
    fixture.Run(milliseconds(1));
    RC_ASSERT(IsOk(fixture.EnqueueAndStart(request, budget)));
  });
}

}  // namespace
}  // namespace briarspread
