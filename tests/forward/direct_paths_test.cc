#include "briarspread/forward/direct_paths.h"

#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

const Endpoint kA{"10.0.0.1", 1};
const Endpoint kB{"10.0.0.2", 1};
const Endpoint kC{"10.0.0.3", 1};
const Endpoint kDesk{"10.0.0.4", 1};

const std::vector<TrialCandidate> kCandidates = {{kA, ServiceName("llm")},
                                                 {kB, ServiceName("llm")},
                                                 {kC, ServiceName("llm")},
                                                 {kDesk, ServiceName("desk")}};

struct Fixture {
  void LoseLinks() {
    paths.RecordNotConnected(kA);
    paths.RecordNotConnected(kB);
  }
  void FailTrial() {
    const auto trial = paths.NextTrial(kCandidates);
    REQUIRE(trial.has_value());
    paths.RecordNotConnected(*trial);
    paths.RecordFailedTrial();
  }
  briarspread::testing::ManualClock clock;
  DirectPaths paths{DirectPathsSettings{}, clock};
};

TEST_CASE("one upstream that cannot be connected to is not blamed on links") {
  Fixture fixture;
  fixture.clock.Advance(seconds(10));
  fixture.paths.RecordNotConnected(kA);
  fixture.paths.RecordNotConnected(kA);
  REQUIRE_FALSE(fixture.paths.IsSuspected());
  REQUIRE_FALSE(fixture.paths.ShouldRelay(kA));
}

TEST_CASE("two upstreams that fail with none connected raise suspicion") {
  Fixture fixture;
  fixture.clock.Advance(seconds(10));
  fixture.LoseLinks();
  REQUIRE(fixture.paths.IsSuspected());
  REQUIRE(fixture.paths.ShouldRelay(kC));
  REQUIRE_FALSE(fixture.paths.IsLost());
  // The links count as lost only after trials failed, the first of them at
  // another service, whose upstreams did not fail with the others.
  REQUIRE(fixture.paths.NextTrial(kCandidates) == kDesk);
  fixture.paths.RecordNotConnected(kDesk);
  fixture.paths.RecordFailedTrial();
  REQUIRE_FALSE(fixture.paths.IsLost());
  fixture.FailTrial();
  REQUIRE(fixture.paths.IsLost());
}

TEST_CASE("a connection to another service clears the links of suspicion") {
  Fixture fixture;
  fixture.clock.Advance(seconds(10));
  fixture.LoseLinks();
  fixture.paths.RecordConnected(kDesk);
  REQUIRE_FALSE(fixture.paths.IsSuspected());
  REQUIRE_FALSE(fixture.paths.ShouldRelay(kA));
  // Further failures shortly after it raise no suspicion again.
  fixture.LoseLinks();
  REQUIRE_FALSE(fixture.paths.IsSuspected());
}

TEST_CASE("links that are back are used one upstream after the other") {
  Fixture fixture;
  fixture.clock.Advance(seconds(10));
  fixture.LoseLinks();
  fixture.paths.RecordReachedByPeer(kA);
  fixture.paths.RecordReachedByPeer(kB);
  fixture.paths.RecordConnected(kDesk);
  REQUIRE(fixture.paths.ShouldRelay(kA));
  REQUIRE(fixture.paths.ShouldRelay(kB));
  REQUIRE_FALSE(fixture.paths.ShouldRelay(kC));
  fixture.clock.Advance(seconds(1));
  REQUIRE(fixture.paths.NextTrial(kCandidates) == kA);
  fixture.paths.RecordConnected(kA);
  REQUIRE_FALSE(fixture.paths.ShouldRelay(kA));
  REQUIRE(fixture.paths.NextTrial(kCandidates) == kB);
  fixture.paths.RecordConnected(kB);
  REQUIRE(fixture.paths.failed_count() == 0);
  REQUIRE_FALSE(fixture.paths.NextTrial(kCandidates).has_value());
}

TEST_CASE("open connections are used if they outlive the loss of the links") {
  Fixture fixture;
  fixture.clock.Advance(seconds(10));
  fixture.paths.RecordResponse();
  fixture.LoseLinks();
  REQUIRE_FALSE(fixture.paths.DoOpenConnectionsWork());
  fixture.clock.Advance(milliseconds(10));
  fixture.paths.RecordResponse();
  REQUIRE(fixture.paths.DoOpenConnectionsWork());
}

TEST_CASE("a single failure is checked by one trial if upstreams are silent") {
  Fixture fixture;
  fixture.clock.Advance(seconds(10));
  fixture.paths.RecordResponse();
  fixture.paths.RecordNotConnected(kA);
  REQUIRE_FALSE(fixture.paths.NextTrial(kCandidates).has_value());
  fixture.clock.Advance(seconds(1));
  REQUIRE(fixture.paths.NextTrial(kCandidates) == kDesk);
  fixture.clock.Advance(milliseconds(1));
  fixture.paths.RecordConnected(kDesk);
  fixture.clock.Advance(seconds(1));
  REQUIRE_FALSE(fixture.paths.NextTrial(kCandidates).has_value());
  // An upstream that is gone is forgotten.
  fixture.paths.Retain({{kDesk, ServiceName("desk")}});
  REQUIRE(fixture.paths.failed_count() == 0);
}

}  // namespace
}  // namespace briarspread::forward
