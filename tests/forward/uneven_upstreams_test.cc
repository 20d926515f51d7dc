// Replays of load on upstreams of uneven speed, in simulated time.

#include <catch2/catch.hpp>

#include "briarspread/core/rendezvous.h"
#include "tests/forward/load_replay.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

TEST_CASE("the fourth figure of a load report is smoothed and fades") {
  ManualClock clock;
  UpstreamDirectory directory(UpstreamDirectorySettings{}, Locality{}, clock);
  DiscoveredUpstream listed;
  listed.id = UpstreamId("a");
  directory.Put(listed);
  const auto slowness = [&] {
    return directory.Find(listed.id)->load.slowness.At(clock.Now());
  };
  directory.UpdateLoad(listed.id, "1,0,8");
  REQUIRE(slowness() == 1.0);
  directory.UpdateLoad(listed.id, "3,2,8,400");
  REQUIRE(directory.Find(listed.id)->load.running == 3);
  // Guards against following a single noisy reading.
  REQUIRE(slowness() > 1.5);
  REQUIRE(slowness() < 2.5);
  for (int i = 0; i < 20; ++i) {
    clock.Advance(milliseconds(50));
    directory.UpdateLoad(listed.id, "3,2,8,400");
  }
  REQUIRE(slowness() > 3);
  clock.Advance(seconds(5));
  REQUIRE(slowness() < 1.05);
}

TEST_CASE("a measured event interval follows later changes of the slowness") {
  ManualClock clock;
  KnownUpstream engine;
  REQUIRE(engine.ExpectedEventInterval(clock.Now()) == Duration::zero());
  engine.RecordEventInterval(milliseconds(40), clock.Now());
  REQUIRE(engine.ExpectedEventInterval(clock.Now()) == milliseconds(40));
  for (int i = 0; i < 10; ++i) engine.load.slowness.Record(400, clock.Now());
  REQUIRE(engine.ExpectedEventInterval(clock.Now()) > milliseconds(120));
  // Without new readings, the engine is as fast as it was measured.
  clock.Advance(seconds(10));
  REQUIRE(engine.ExpectedEventInterval(clock.Now()) < milliseconds(41));
}

// Load: upstreams whose speed changes at random 20 times a second.
TEST_CASE("noise in the reported speed costs nothing") {
  std::vector<double> mean;
  for (const bool sends : {false, true}) {
    LoadReplay::Settings settings;
    settings.sends_slowness = sends;
    settings.rate = 450;
    LoadReplay replay(settings);
    replay.slowness = [](std::size_t u, Duration at) {
      const auto step = static_cast<std::uint64_t>(at / milliseconds(50));
      return 0.5 + static_cast<double>(MixBits(step * 97 + u) % 100) / 100;
    };
    replay.RunUntil(seconds(60));
    mean.push_back(replay.MeanLatencyMs());
  }
  INFO("mean latency in ms without and with the figure: " << mean[0] << ", "
                                                          << mean[1]);
  REQUIRE(mean[1] <= 1.01 * mean[0]);
}

/// Makes the first upstream four times slower from 10 s to 18 s.
void ReplaySlowUpstream(LoadReplay& replay) {
  replay.slowness = [](std::size_t u, Duration at) {
    return u == 0 && at >= seconds(10) && at < seconds(18) ? 4.0 : 1.0;
  };
  replay.RunUntil(seconds(30));
}

double ShareOfFirst(const LoadReplay& replay, int from, int to) {
  const auto all = [](const LoadReplay::Run&) { return true; };
  const auto first = [](const LoadReplay::Run& run) {
    return run.upstream == 0;
  };
  return static_cast<double>(replay.Sent(seconds(from), seconds(to), first)) /
         static_cast<double>(replay.Sent(seconds(from), seconds(to), all));
}

TEST_CASE("a slow upstream gets fewer requests within a second, not for good") {
  LoadReplay replay(LoadReplay::Settings{});
  ReplaySlowUpstream(replay);
  LoadReplay::Settings without_figure;
  without_figure.sends_slowness = false;
  LoadReplay blind(without_figure);
  ReplaySlowUpstream(blind);
  INFO("share while slow without and with the figure: "
       << ShareOfFirst(blind, 11, 18) << ", " << ShareOfFirst(replay, 11, 18));
  INFO("p99 in ms without and with the figure: "
       << blind.LatencyMs(0.99) << ", " << replay.LatencyMs(0.99));
  REQUIRE(ShareOfFirst(replay, 0, 10) > 0.1);
  REQUIRE(ShareOfFirst(replay, 11, 18) < 0.5 * ShareOfFirst(blind, 11, 18));
  REQUIRE(ShareOfFirst(replay, 20, 30) > 0.1);
  REQUIRE(replay.LatencyMs(0.99) < blind.LatencyMs(0.99));
}

// Load: 100 instances whose load reports are seconds old, since each of them
// sends few requests; upstreams that run 70% of their slots.
TEST_CASE("a hundred instances do not herd to the same upstreams") {
  std::vector<double> p99;
  for (const std::size_t instances : {1, 100}) {
    LoadReplay::Settings settings;
    settings.instances = instances;
    settings.upstreams = 80;
    settings.rate = 4500;
    LoadReplay replay(settings);
    replay.RunUntil(seconds(6));
    p99.push_back(replay.LatencyMs(0.99));
    std::uint32_t peak = 0;
    for (const auto& [u, n] : replay.peaks) peak = std::max(peak, n);
    INFO("instances=" << instances << " most requests held: " << peak);
    CHECK(peak <= 4 * settings.slots);
  }
  INFO("p99 in ms of 1 and 100 instances: " << p99[0] << ", " << p99[1]);
  REQUIRE(p99[1] < 1.5 * p99[0]);
}

// Load: 100 instances that see at about the same time that an upstream is as
// fast as usual again.
TEST_CASE("a hundred instances do not herd to an upstream that speeds up") {
  LoadReplay::Settings settings;
  settings.instances = 100;
  settings.rate = 450;
  LoadReplay replay(settings);
  replay.slowness = [](std::size_t u, Duration at) {
    return u == 0 && at >= seconds(10) && at < seconds(18) ? 4.0 : 1.0;
  };
  replay.RunUntil(seconds(18));
  replay.peaks.clear();
  replay.RunUntil(seconds(25));
  INFO("most requests held: " << replay.peaks[0]);
  REQUIRE(replay.peaks[0] <= 4 * settings.slots);
}

// Load: the instances of one zone get three times the requests that its
// upstreams can run; the near zone has room.
TEST_CASE("a zone with three times the demand spills before requests wait") {
  LoadReplay::Settings settings;
  settings.instances = 4;
  settings.upstreams = 16;
  settings.rate = 960;
  settings.zone_of_upstream = [](std::size_t u) {
    return u < 4 ? "lim-a" : "lim-b";
  };
  LoadReplay replay(settings);
  replay.RunUntil(seconds(20));
  double waited = 0;
  for (const auto& run : replay.runs) {
    waited += run.began - run.sent > milliseconds(50) ? 1 : 0;
  }
  const double fraction = waited / static_cast<double>(replay.runs.size());
  INFO("fraction that waited over 50 ms: " << fraction);
  REQUIRE(replay.unplaced == 0);
  REQUIRE(fraction < 0.02);
}

}  // namespace
}  // namespace briarspread::forward
