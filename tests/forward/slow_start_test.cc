// Replays of upstreams that start under load, in simulated time.

#include "briarspread/routing/slow_start.h"

#include <catch2/catch.hpp>

#include "briarspread/forward/upstream_chooser.h"
#include "tests/forward/forward_fixture.h"
#include "tests/forward/load_replay.h"

namespace briarspread::forward {
namespace {

struct DirectoryFixture {
  explicit DirectoryFixture(bool has_slow_start) {
    directory.SetSlowStart(has_slow_start);
    directory.ReplaceAll({Listed("old", 1)});
  }
  static DiscoveredUpstream Listed(const std::string& id,
                                   std::uint64_t start_id) {
    DiscoveredUpstream listed;
    listed.id = UpstreamId(id);
    listed.service = ServiceName("s");
    listed.start_id = start_id;
    listed.slots = 8;
    return listed;
  }
  bool IsStarting(const std::string& id) {
    return directory.Find(UpstreamId(id))->slow_start != nullptr;
  }
  void Fail(const std::string& id, int times) {
    for (int i = 0; i < times; ++i) directory.RecordFailure(UpstreamId(id));
  }

  briarspread::testing::ManualClock clock;
  UpstreamDirectory directory{UpstreamDirectorySettings{}, Locality{}, clock};
};

constexpr seconds kRestart{5};
constexpr std::uint32_t kSlots = 8;

struct RestartResult {
  /// Largest number of requests that the restarted upstream held.
  std::uint32_t peak = 0;
  /// Time until the upstream runs 70% of what the others run on average.
  Duration until_full{};
  double p99_ms = 0;
};

Duration TimeToFullUse(const LoadReplay& replay) {
  constexpr milliseconds kStep{200};
  for (Duration at = kRestart; at < seconds(15); at += kStep) {
    const auto is_first = [](const LoadReplay::Run& run) {
      return run.upstream == 0;
    };
    const auto is_other = [](const LoadReplay::Run& run) {
      return run.upstream != 0;
    };
    const auto first = replay.Sent(at, at + kStep, is_first);
    if (first * 7 * 10 >= replay.Sent(at, at + kStep, is_other) * 7) {
      return at + kStep - kRestart;
    }
  }
  return seconds(15);
}

/// Returns settings for eight upstreams that run 70% of their slots.
LoadReplay::Settings RestartSettings(std::size_t instances,
                                     bool has_slow_start) {
  LoadReplay::Settings settings;
  settings.instances = instances;
  settings.slots = kSlots;
  settings.rate = 450;
  settings.has_slow_start = has_slow_start;
  return settings;
}

/// Replays the restart of one of the upstreams, which works at half its speed
/// for the first second.
RestartResult ReplayRestart(std::size_t instances, bool has_slow_start,
                            std::size_t active = 0) {
  LoadReplay::Settings settings = RestartSettings(instances, has_slow_start);
  settings.active_instances = active;
  settings.sends_slowness = false;
  LoadReplay replay(settings);
  replay.slowness = [](std::size_t u, Duration at) {
    return u == 0 && at >= kRestart && at < kRestart + seconds(1) ? 2.0 : 1.0;
  };
  replay.RunUntil(kRestart);
  replay.peaks.clear();
  replay.Restart(0);
  replay.RunUntil(seconds(15));
  RestartResult result;
  result.peak = replay.peaks[0];
  result.until_full = TimeToFullUse(replay);
  result.p99_ms = replay.LatencyMs(0.99, kRestart);
  REQUIRE(replay.unplaced == 0);
  return result;
}

// Load: one of eight upstreams restarts while they run 70% of their slots.
TEST_CASE("a restarted upstream is neither overloaded nor left idle") {
  for (const std::size_t instances : {1, 10, 100}) {
    const RestartResult before = ReplayRestart(instances, false);
    const RestartResult after = ReplayRestart(instances, true);
    INFO("instances=" << instances << " peak=" << before.peak << ","
                      << after.peak
                      << " until_full_s=" << SecondsOf(before.until_full) << ","
                      << SecondsOf(after.until_full)
                      << " p99_ms=" << before.p99_ms << "," << after.p99_ms);
    CHECK(after.peak <= 2 * kSlots);
    CHECK(after.until_full <= seconds(2));
    CHECK(after.p99_ms <= 1.05 * before.p99_ms);
  }
}

// Guards against a share of the limit so small that an instance with all of the
// load leaves a sound upstream idle.
TEST_CASE("the only instances with load take over the limit of the others") {
  for (const std::size_t active : {1, 5}) {
    const RestartResult result = ReplayRestart(100, true, active);
    INFO("active=" << active << " peak=" << result.peak
                   << " until_full_s=" << SecondsOf(result.until_full));
    CHECK(result.peak <= 2 * kSlots);
    CHECK(result.until_full <= seconds(3));
  }
}

// Load: an upstream that restarts every 1.5 s and loses what it holds.
TEST_CASE("a flapping upstream loses fewer requests with a slow start") {
  std::vector<std::size_t> lost;
  for (const bool has_slow_start : {false, true}) {
    LoadReplay replay(RestartSettings(100, has_slow_start));
    for (int i = 1; i <= 10; ++i) {
      replay.RunUntil(i * milliseconds(1500));
      replay.Restart(0);
    }
    REQUIRE(replay.unplaced == 0);
    lost.push_back(replay.lost);
  }
  INFO("lost without and with a slow start: " << lost[0] << ", " << lost[1]);
  REQUIRE(lost[1] < lost[0]);
}

// Load: all upstreams of the service restart at the same time.
TEST_CASE("the limits of slow starts give way where all upstreams have one") {
  for (const bool has_slow_start : {false, true}) {
    LoadReplay replay(RestartSettings(100, has_slow_start));
    replay.RunUntil(kRestart);
    for (std::size_t u = 0; u < 8; ++u) replay.Restart(u);
    replay.RunUntil(seconds(15));
    const std::size_t runs =
        replay.Sent(kRestart, kRestart + seconds(2),
                    [](const LoadReplay::Run&) { return true; });
    INFO("slow_start=" << has_slow_start << " runs in 2 s: " << runs
                       << " p99_ms=" << replay.LatencyMs(0.99, kRestart));
    CHECK(replay.unplaced == 0);
    CHECK(runs > 800);
    CHECK(replay.LatencyMs(0.99, kRestart) < 1000);
  }
}

TEST_CASE("a slow start grows with good responses and falls with queueing") {
  const TimePoint now{seconds(100)};
  const InstanceShare alone;
  SlowStart limit(SlowStartSettings{}, 16, 0, now);
  REQUIRE(limit.AllowanceAt(now, alone) == 2);
  LoadReport report;
  report.slots = 16;
  report.received = now;
  const auto run_round = [&](std::uint32_t running, std::uint32_t queued) {
    report.running = running;
    report.queued = queued;
    report.own_in_flight = running + queued;
    limit.OnReport(report);
    const std::uint32_t allowed = limit.AllowanceAt(now, alone);
    for (std::uint32_t i = 0; i < allowed; ++i) limit.OnGoodResponse(1, now);
    return limit.AllowanceAt(now, alone);
  };
  REQUIRE(run_round(2, 0) == 4);
  REQUIRE(run_round(4, 0) == 8);
  REQUIRE(run_round(5, 3) < 8);
  limit.OnEventInterval(milliseconds(20), now + seconds(1));
  const double fast = limit.LimitAt(now);
  limit.OnEventInterval(milliseconds(50), now + seconds(1));
  REQUIRE(limit.LimitAt(now) < fast);
  limit.OnRefusal(now + seconds(2));
  REQUIRE(limit.LimitAt(now) < 0.5 * fast);
  REQUIRE_FALSE(limit.HasEnded(now));
  REQUIRE(limit.HasEnded(now + seconds(10)));
}

// Guards against an upstream that keeps refusing and enters slow start several
// times a second.
TEST_CASE("a slow start after a refusal lasts a second at least") {
  DirectoryFixture d(true);
  const UpstreamId id("old");
  d.directory.UpdateLoad(id, "8,0,8");
  d.directory.RecordRefusal(id);
  REQUIRE(d.IsStarting("old"));
  for (int i = 0; i < 9; ++i) {
    d.clock.Advance(milliseconds(100));
    d.directory.UpdateLoad(id, "8,0,8");
    d.directory.RecordSuccess(id);
    REQUIRE(d.IsStarting("old"));
  }
  d.clock.Advance(milliseconds(200));
  d.directory.RecordSuccess(id);
  REQUIRE_FALSE(d.IsStarting("old"));
}

TEST_CASE("the instances' shares of a limit add up to it") {
  const TimePoint now{seconds(100)};
  SlowStart limit(SlowStartSettings{}, 56, 0, now);
  std::uint32_t total = 0;
  for (std::uint32_t rank = 0; rank < 100; ++rank) {
    total += limit.AllowanceAt(now, InstanceShare{rank, 100});
  }
  REQUIRE(total == 7);
}

TEST_CASE(
    "what has started or recovered is in slow start, what was there not") {
  DirectoryFixture d(true);
  REQUIRE_FALSE(d.IsStarting("old"));
  d.directory.Put(DirectoryFixture::Listed("new", 1));
  REQUIRE(d.IsStarting("new"));
  d.directory.Put(DirectoryFixture::Listed("old", 2));
  REQUIRE(d.IsStarting("old"));
  REQUIRE(d.directory.CountSlowStarts() == 2);
  d.clock.Advance(seconds(11));
  d.directory.DropExpired();
  REQUIRE(d.directory.CountSlowStarts() == 0);
  d.directory.table();  // Sets the number of breakers that may open.
  d.Fail("old", 2);
  d.clock.Advance(seconds(2));
  d.directory.RecordSuccess(UpstreamId("old"));
  REQUIRE(d.IsStarting("old"));
  d.directory.RecordRefusal(UpstreamId("new"));
  REQUIRE(d.IsStarting("new"));
}

TEST_CASE("a recent start known at the instance's own start is in slow start") {
  DirectoryFixture d(true);
  const auto now_ms =
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                     d.clock.WallNow().time_since_epoch())
                                     .count());
  UpstreamDirectory directory{UpstreamDirectorySettings{}, Locality{}, d.clock};
  directory.SetSlowStart(true);
  directory.ReplaceAll({DirectoryFixture::Listed("recent", now_ms - 2000),
                        DirectoryFixture::Listed("early", now_ms - 20'000),
                        DirectoryFixture::Listed("ahead", now_ms + 20'000)});
  REQUIRE(directory.CountSlowStarts() == 1);
  REQUIRE(directory.Find(UpstreamId("recent"))->slow_start != nullptr);
}

// Guards against a refused request while an upstream in slow start has a slot.
TEST_CASE("the limit of a slow start gives way to a request with a deadline") {
  ForwardFixture f;
  // With this many instances, the limit leaves room here only after seconds.
  std::vector<std::string> names;
  names.reserve(400);
  for (int i = 0; i < 400; ++i) names.push_back("i" + std::to_string(i));
  f.directory.SetInstances(InstanceId("self"), names);
  f.directory.SetSlowStart(true);
  f.directory.ReplaceAll({DirectoryFixture::Listed("full", 1)});
  f.directory.Put(DirectoryFixture::Listed("new", 1));
  KnownUpstream& full = *f.directory.Find(UpstreamId("full"));
  KnownUpstream& starting = *f.directory.Find(UpstreamId("new"));
  full.counters->in_flight = 12;
  RecordServiceTime(*full.counters, seconds(20));
  starting.counters->in_flight = 7;
  const auto choose = [&](Duration left) {
    UpstreamChooser chooser(f.context, true, f.clock.Now() + left);
    return chooser.Choose(ServiceName("s"));
  };
  REQUIRE(choose(seconds(60)) == UpstreamId("full"));
  REQUIRE(choose(seconds(1)) == UpstreamId("new"));
  REQUIRE(f.directory.held_back() > 0);
}

// Guards against a change of service where no configuration asks for it.
TEST_CASE("without the setting no upstream is in slow start") {
  DirectoryFixture d(false);
  d.directory.Put(DirectoryFixture::Listed("new", 1));
  d.directory.RecordRefusal(UpstreamId("old"));
  REQUIRE(d.directory.CountSlowStarts() == 0);
}

}  // namespace
}  // namespace briarspread::forward
