#include "briarspread/contracts/suspect_table.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "tests/support/manual_clock.h"

namespace briarspread::testing {
namespace {

const Fingerprint kCrashingRequest(666);

/// Instances that exchange digests, and callers that send through any of them.
class Fleet {
 public:
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) {
      names.emplace_back("entry-" + std::to_string(i));
      tables.push_back(std::make_unique<SuspectTable>(
          SuspectSettings{}, ProcessId{names.back(), Incarnation(1)}, clock));
    }
  }
  /// Sends a body to the instance `via`, which forwards it to the body's trial
  /// instance if needed. Sets `runs_at` to the instance that decides.
  SuspectAdmission Send(std::size_t via, Fingerprint body,
                        std::size_t* runs_at) {
    *runs_at = via;
    auto admission = tables[via]->Admit(body, IsTrialInstance(via, body));
    if (admission == SuspectAdmission::kForward) {
      *runs_at = TrialInstanceOf(body);
      admission = tables[*runs_at]->Admit(body, true);
    }
    return admission;
  }
  void Gossip() {
    for (const auto& from : tables) {
      const auto digest = ParseSuspectDigest(ToJson(from->Digest(100)));
      for (const auto& to : tables) to->Merge(ValueOf(digest));
    }
  }
  std::size_t TrialInstanceOf(Fingerprint body) const {
    const auto home = SelectTrialInstance(body, names);
    return static_cast<std::size_t>(
        std::find(names.begin(), names.end(), home) - names.begin());
  }
  bool IsTrialInstance(std::size_t i, Fingerprint body) const {
    return TrialInstanceOf(body) == i;
  }

  ManualClock clock;
  std::vector<InstanceId> names;
  std::vector<std::unique_ptr<SuspectTable>> tables;
};

/// Sends the crashing request 60 times, to the instances in turn, and exchanges
/// digests after every `sends_per_gossip` sends. Returns the number of crashed
/// upstreams.
int CountCrashedUpstreams(Fleet& fleet, int sends_per_gossip) {
  int lost = 0;
  for (std::size_t i = 0; i < 60; ++i) {
    std::size_t at = 0;
    const auto admission =
        fleet.Send(i % fleet.tables.size(), kCrashingRequest, &at);
    const bool runs = admission == SuspectAdmission::kRunNormally ||
                      admission == SuspectAdmission::kRunAlone;
    if (runs) {
      fleet.tables[at]->OnCrash(UpstreamId("u" + std::to_string(lost++)),
                                {kCrashingRequest});
    }
    if ((i + 1) % static_cast<std::size_t>(sends_per_gossip) == 0) {
      fleet.Gossip();
    }
    fleet.clock.Advance(seconds(1));
  }
  return lost;
}

TEST_CASE(
    "a crashing request re-sent to other instances crashes two upstreams") {
  Fleet fleet(7);
  REQUIRE(CountCrashedUpstreams(fleet, 1) == 2);
  for (const auto& it : fleet.tables) {
    REQUIRE(it->IsBlocked(kCrashingRequest));
    REQUIRE(it->Admit(kCrashingRequest, true) ==
            SuspectAdmission::kRefuseForGood);
    const Error error = it->RefusalOf(SuspectAdmission::kRefuseForGood);
    REQUIRE(error.code == ErrorCode::kRefusedForGood);
    REQUIRE_FALSE(error.retry_after.has_value());
  }
}

TEST_CASE("each send before a digest exchange can crash one more upstream") {
  Fleet fleet(7);
  // Without digests every instance runs the request once, and its trial
  // instance runs it once more in a trial.
  REQUIRE(CountCrashedUpstreams(fleet, 1000) > 2);
  for (const int n : {2, 3, 5}) {
    Fleet slow(7);
    REQUIRE(CountCrashedUpstreams(slow, n) <= n + 1);
  }
}

TEST_CASE("a request stays blocked after the reporting instance is lost") {
  Fleet fleet(3);
  CountCrashedUpstreams(fleet, 1);
  SuspectTable fresh({}, {InstanceId("fresh"), Incarnation(1)}, fleet.clock);
  fresh.Merge(fleet.tables[1]->Digest(100));
  REQUIRE(fresh.IsBlocked(kCrashingRequest));
}

TEST_CASE("a crash in a trial blocks only if no other request was in flight") {
  Fleet fleet(2);
  const Fingerprint harmless(1);
  std::size_t home = fleet.TrialInstanceOf(harmless);
  fleet.tables[home]->OnCrash(UpstreamId("u1"), {harmless});
  REQUIRE(fleet.tables[home]->Admit(harmless, true) ==
          SuspectAdmission::kRunAlone);
  // Another instance runs the crashing request on the same upstream.
  fleet.tables[home]->OnCrash(UpstreamId("u2"), {harmless});
  fleet.tables[1 - home]->OnCrash(UpstreamId("u2"), {kCrashingRequest});
  REQUIRE(fleet.tables[home]->Admit(harmless, true) ==
          SuspectAdmission::kRefuseForNow);
  SECTION("without the other instance's report the request is blocked") {
    fleet.clock.Advance(seconds(60));
    REQUIRE(fleet.tables[home]->IsBlocked(harmless));
  }
  // A late report also revokes an earlier block.
  fleet.Gossip();
  fleet.clock.Advance(seconds(60));
  REQUIRE_FALSE(fleet.tables[home]->IsBlocked(harmless));
  REQUIRE(fleet.tables[home]->Admit(harmless, true) ==
          SuspectAdmission::kRunAlone);
  fleet.tables[home]->EndTrial(harmless, true);
  REQUIRE(fleet.tables[home]->Admit(harmless, true) ==
          SuspectAdmission::kRunNormally);
}

TEST_CASE("a malformed digest is rejected") {
  for (const char* text :
       {"", "{}", "[]", R"({"reports":[{}],"clearances":[]})",
        R"({"reports":[],"clearances":[[1,-5]]})"}) {
    REQUIRE_FALSE(IsOk(ParseSuspectDigest(text)));
  }
}

TEST_CASE("random sharing of upstreams blocks only the crashing request") {
  rc::prop("one crashing request among many others", [] {
    Fleet fleet(*rc::gen::inRange(1, 8));
    const int harmless_count = *rc::gen::inRange(1, 30);
    int lost = 0;
    for (int round = 0; round < 60; ++round) {
      // All requests share one upstream, each through a random instance.
      std::vector<std::vector<Fingerprint>> shared(fleet.tables.size());
      std::vector<std::pair<std::size_t, Fingerprint>> alone;
      bool is_crashing_shared = false;
      for (int i = 0; i <= harmless_count; ++i) {
        const Fingerprint body =
            i == 0 ? kCrashingRequest
                   : Fingerprint(static_cast<std::uint64_t>(i));
        const auto via = *rc::gen::inRange<std::size_t>(0, shared.size());
        std::size_t at = 0;
        const auto admission = fleet.Send(via, body, &at);
        RC_ASSERT(admission != SuspectAdmission::kRefuseForGood ||
                  body == kCrashingRequest);
        if (admission == SuspectAdmission::kRunNormally) {
          shared[at].push_back(body);
          is_crashing_shared = is_crashing_shared || body == kCrashingRequest;
        } else if (admission == SuspectAdmission::kRunAlone) {
          alone.emplace_back(at, body);
        }
      }
      if (is_crashing_shared) ++lost;
      for (std::size_t i = 0; is_crashing_shared && i < shared.size(); ++i) {
        fleet.tables[i]->OnCrash(UpstreamId("shared"), shared[i]);
      }
      for (const auto& [at, body] : alone) {
        if (body == kCrashingRequest) {
          ++lost;
          fleet.tables[at]->OnCrash(UpstreamId("alone"), {body});
        } else {
          fleet.tables[at]->EndTrial(body, true);
        }
      }
      fleet.Gossip();
      fleet.clock.Advance(seconds(1));
    }
    RC_ASSERT(lost == 2);
    RC_ASSERT(fleet.tables[0]->IsBlocked(kCrashingRequest));
  });
}

TEST_CASE("each crash counts once, and not after a complete response") {
  Fleet fleet(2);
  SuspectTable& one = *fleet.tables[0];
  one.OnCrash(UpstreamId("u1"), {kCrashingRequest});
  fleet.tables[1]->OnCrash(UpstreamId("u1"), {kCrashingRequest});
  fleet.Gossip();
  REQUIRE(one.CountCrashes(kCrashingRequest) == 1);
  fleet.clock.Advance(SuspectSettings{}.same_crash_window + seconds(1));
  one.OnCrash(UpstreamId("u1"), {kCrashingRequest, Fingerprint(2)});
  REQUIRE(one.CountCrashes(kCrashingRequest) == 2);
  one.Clear(kCrashingRequest);
  REQUIRE(one.CountCrashes(kCrashingRequest) == 0);
  REQUIRE(one.CountCrashes(Fingerprint(2)) == 1);
}

}  // namespace
}  // namespace briarspread::testing
