// Runs on engines that send bytes but no events, send endless bodies, or leave.
#include <catch2/catch.hpp>

#include "briarspread/batch/stall_timeout.h"
#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

using forward::Endless;

proxy::ResponseHead Head(const JobRunnerFixture& world, int status) {
  proxy::ResponseHead head;
  head.status = status;
  head.headers.Add(world.headers.signature, "sig");
  head.headers.Add(world.headers.weight_version, "2");
  return head;
}

TEST_CASE("a run on an engine that sends bytes but no events is moved") {
  JobRunnerSettings settings = JobRunnerFixture::Fast();
  settings.min_stall_timeout = milliseconds(100);
  JobRunnerFixture world(settings);
  FakeUpstream stalls(world.loop,
                      Endless(world.loop, Head(world, 200), ": alive\n"));
  FakeUpstream sound(world.loop, world.Makes(3));
  world.AddEngine("a", stalls);
  REQUIRE(world.Accept(JobRunnerFixture::Spec()));
  world.AwaitStore([&] { return stalls.requests.size() == 1; });
  world.AddEngine("b", sound);
  REQUIRE(world.AwaitResults(1).results[0].is_complete);
  REQUIRE(world.runner.metrics().runs_moved >= 1);
}

TEST_CASE("a failure response with an endless body counts as a failed run") {
  JobRunnerFixture world;
  FakeUpstream engine(world.loop, Endless(world.loop, Head(world, 500),
                                          std::string(8192, 'x')));
  world.AddEngine("e", engine);
  REQUIRE(world.Accept(JobRunnerFixture::Spec()));
  REQUIRE_FALSE(world.AwaitResults(1).results[0].is_complete);
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
  JobRunnerFixture world;
  FakeUpstream leaving(world.loop, world.Makes(3));
  FakeUpstream other(world.loop, world.Makes(3));
  world.AddEngine("a", leaving);
  world.directory.NoteLeaving(UpstreamId("a"));
  REQUIRE(world.Accept(JobRunnerFixture::Spec(2)));
  world.AddEngine("b", other);
  REQUIRE(world.AwaitResults(2).results.size() == 2);
  REQUIRE(leaving.requests.empty());
}

}  // namespace
}  // namespace briarspread::batch
