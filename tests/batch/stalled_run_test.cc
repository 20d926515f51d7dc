// Runs on engines that send bytes but no events, send endless bodies, or leave.
#include <catch2/catch.hpp>

#include "briarspread/batch/stall_timeout.h"
#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

using forward::RespondEndlessly;

TEST_CASE("a run on an engine that sends bytes but no events is moved") {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.min_stall_timeout = milliseconds(100);
  JobRunnerFixture fixture(settings);
  FakeUpstream stalls(
      fixture.loop,
      RespondEndlessly(fixture.loop, fixture.EngineHead(200), ": alive\n"));
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(3));
  fixture.AddEngine("a", stalls);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return stalls.requests.size() == 1; });
  fixture.AddEngine("b", sound);
  REQUIRE(fixture.AwaitResults(1).results[0].is_complete);
  REQUIRE(fixture.runner.metrics().runs_moved >= 1);
}

TEST_CASE("a failure response with an endless body counts as a failed run") {
  JobRunnerFixture fixture;
  FakeUpstream engine(fixture.loop,
                      RespondEndlessly(fixture.loop, fixture.EngineHead(500),
                                       std::string(8192, 'x')));
  fixture.AddEngine("e", engine);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  REQUIRE_FALSE(fixture.AwaitResults(1).results[0].is_complete);
  // The route allows two attempts.
  REQUIRE(engine.requests.size() == 2);
}

TEST_CASE("the stall timeout grows with event interval and stalled runs") {
  const Duration least = milliseconds(2200);
  REQUIRE(StallTimeout(least, milliseconds(40), 0) == least);
  // An engine that sends an event each second is slow, not stalled.
  REQUIRE(StallTimeout(least, seconds(1), 0) >= seconds(5));
  REQUIRE(StallTimeout(least, milliseconds(40), 1) == least);
  REQUIRE(StallTimeout(least, milliseconds(40), 2) == 2 * least);
  REQUIRE(StallTimeout(least, milliseconds(40), 3) == 4 * least);
  REQUIRE(StallTimeout(least, milliseconds(40), 99) ==
          StallTimeout(least, milliseconds(40), 4));
}

TEST_CASE("an engine that is leaving gets no item") {
  JobRunnerFixture fixture;
  FakeUpstream leaving(fixture.loop, fixture.AnswerWithEvents(3));
  FakeUpstream other(fixture.loop, fixture.AnswerWithEvents(3));
  fixture.AddEngine("a", leaving);
  fixture.directory.MarkLeaving(UpstreamId("a"));
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec(2)));
  fixture.AddEngine("b", other);
  REQUIRE(fixture.AwaitResults(2).results.size() == 2);
  REQUIRE(leaving.requests.empty());
}

}  // namespace
}  // namespace briarspread::batch
