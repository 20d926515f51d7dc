// Runs at engines that send bytes but no events, without end, or that leave.
#include <catch2/catch.hpp>

#include "briarspread/batch/stream_silence.h"
#include "tests/batch/runner_world.h"

namespace briarspread::batch {
namespace {

using forward::RespondEndlessly;

proxy::ResponseHead Head(const World& world, int status) {
  proxy::ResponseHead head;
  head.status = status;
  head.headers.Add(world.headers.signature, "sig");
  head.headers.Add(world.headers.weight_version, "2");
  return head;
}

TEST_CASE("an engine that sends bytes but no events loses its run") {
  JobRunnerSettings settings = World::Fast();
  settings.silence = milliseconds(100);
  World world(settings);
  FakeUpstream stalls(
      world.loop, RespondEndlessly(world.loop, Head(world, 200), ": alive\n"));
  FakeUpstream sound(world.loop, world.Makes(3));
  world.AddEngine("a", stalls);
  REQUIRE(world.Accept(World::Spec()));
  world.AwaitStore([&] { return stalls.requests.size() == 1; });
  world.AddEngine("b", sound);
  REQUIRE(world.AwaitResults(1).results[0].is_complete);
  REQUIRE(world.runner.metrics().runs_moved >= 1);
}

TEST_CASE("a failure whose body does not end counts as the failure it is") {
  World world;
  FakeUpstream engine(world.loop, RespondEndlessly(world.loop, Head(world, 500),
                                                   std::string(8192, 'x')));
  world.AddEngine("e", engine);
  REQUIRE(world.Accept(World::Spec()));
  REQUIRE_FALSE(world.AwaitResults(1).results[0].is_complete);
  // As many runs as the route allows.
  REQUIRE(engine.requests.size() == 2);
}

TEST_CASE("the silence allowed follows the engine, and grows with the cuts") {
  const Duration least = milliseconds(2200);
  REQUIRE(AllowedSilence(least, milliseconds(40), 0) == least);
  // An engine that makes an event each second is slow, not dead.
  REQUIRE(AllowedSilence(least, seconds(1), 0) >= seconds(5));
  REQUIRE(AllowedSilence(least, milliseconds(40), 1) == least);
  REQUIRE(AllowedSilence(least, milliseconds(40), 2) == 2 * least);
  REQUIRE(AllowedSilence(least, milliseconds(40), 3) == 4 * least);
  REQUIRE(AllowedSilence(least, milliseconds(40), 99) ==
          AllowedSilence(least, milliseconds(40), 4));
}

TEST_CASE("an engine that leaves gets no further item") {
  World world;
  FakeUpstream leaving(world.loop, world.Makes(3));
  FakeUpstream other(world.loop, world.Makes(3));
  world.AddEngine("a", leaving);
  world.directory.MarkLeaving(UpstreamId("a"));
  REQUIRE(world.Accept(World::Spec(2)));
  world.AddEngine("b", other);
  REQUIRE(world.AwaitResults(2).results.size() == 2);
  REQUIRE(leaving.requests.empty());
}

}  // namespace
}  // namespace briarspread::batch
