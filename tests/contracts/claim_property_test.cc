#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "briarspread/contracts/claim_home.h"
#include "briarspread/contracts/key_table.h"

namespace briarspread::testing {
namespace {

const HomeName kHome("h");

/// A home's owner with a log and a standby that fail at random.
struct ClaimHomeFixture {
  ClaimHome home{ClaimHomeSettings{},
                 {kHome, Epoch(1), {InstanceId("a"), Incarnation(1)}},
                 InstanceId("b"),
                 {},
                 TimePoint()};
  ClaimStandby standby{{}, kHome, Epoch(1), Incarnation(1)};
  std::vector<ClaimSegment> log;
  TimePoint now{seconds(100)};

  AppendResult Append(const AppendRequest& request) {
    const int fault = *rc::gen::inRange(0, 6);
    if (fault == 0) return AppendResult::kUnavailable;
    if (fault == 1) return AppendResult::kUnknown;
    if (request.number < log.size()) {
      RC_ASSERT(log[request.number].operation == request.segment.operation);
    } else {
      RC_ASSERT(request.number == log.size());
      log.push_back(request.segment);
    }
    return fault == 2 ? AppendResult::kUnknown : AppendResult::kAppended;
  }
  void DriveCommit() {
    while (home.commit_state() == ClaimHome::CommitState::kPending) {
      if (const auto batch = home.NextStandbyBatch()) {
        ClaimBatchReply reply{
            ClaimBatchOutcome::kNoReply, batch->sequence, {}, 0};
        const int fault = *rc::gen::inRange(0, 4);
        if (fault != 0) reply = standby.OnBatch(*batch, now);
        if (fault == 1) reply.outcome = ClaimBatchOutcome::kNoReply;
        home.OnStandbyReply(reply, now);
      } else if (const auto append = home.NextAppend(now)) {
        home.OnAppend(Append(*append), now);
      } else {
        RC_FAIL("a pending commit has nothing to send");
      }
    }
  }
  /// Returns whether a successor with the log and the standby's copy would have
  /// the claim of `key`.
  bool HasClaim(const RequestKey& key) const {
    for (const Claim& it : standby.Claims()) {
      if (it.key == key) return true;
    }
    for (const Claim& it : Summarize(log).claims) {
      if (it.key == key) return true;
    }
    return false;
  }
};

TEST_CASE("each committed claim is in the log or the standby's copy") {
  rc::prop("commits", [] {
    ClaimHomeFixture fixture;
    std::vector<Claim> committed;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      fixture.now += milliseconds(*rc::gen::inRange(0, 1500));
      const bool syncs = *rc::gen::inRange(0, 3) == 0;
      if (syncs && fixture.home.can_sync()) {
        fixture.home.BeginSync(committed);
        fixture.DriveCommit();
        fixture.home.FinishCommit();
        continue;
      }
      const Claim claim{RequestKey("k" + std::to_string(i)), Fingerprint(1)};
      fixture.home.BeginCommit({claim});
      fixture.DriveCommit();
      if (fixture.home.FinishCommit() == ClaimHome::CommitState::kCommitted) {
        committed.push_back(claim);
      }
      const SealedLog log = Summarize(fixture.log);
      for (const Claim& it : committed) RC_ASSERT(fixture.HasClaim(it.key));
      // A log marked as complete must hold every committed claim.
      if (!log.is_complete) continue;
      for (const Claim& it : committed) {
        RC_ASSERT(std::find(log.claims.begin(), log.claims.end(), it) !=
                  log.claims.end());
      }
    }
  });
}

TEST_CASE("a key table never runs a request that may have run") {
  rc::prop("key table", [] {
    KeyTableSettings settings;
    settings.max_response_bytes = ByteCount(64);
    settings.max_keys = 4;
    KeyTable table(settings);
    std::map<RequestKey, bool> may_have_run;
    const TimePoint now{seconds(1000)};
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const RequestKey key("k" + std::to_string(*rc::gen::inRange(0, 6)));
      const KeyAction step = table.Begin({key, Fingerprint(1)}, Epoch(0), now);
      RC_ASSERT(table.size() <= settings.max_keys);
      RC_ASSERT(step != KeyAction::kMismatch);
      if (step == KeyAction::kClaim) {
        if (*rc::gen::arbitrary<bool>()) {
          table.OnRefused(key);
          continue;
        }
        table.OnCommitted(key);
      } else if (step != KeyAction::kRun) {
        continue;
      }
      RC_ASSERT(!may_have_run[key]);
      const auto verdict = *rc::gen::element(
          Verdict::kAnswered, Verdict::kNotRun, Verdict::kMayHaveRun);
      may_have_run[key] = verdict != Verdict::kNotRun;
      table.Finish(key, {verdict, 200, {}, std::string(40, 'x')}, now);
    }
  });
}

TEST_CASE(
    "keys expire after the re-send window, responses are evicted by size") {
  KeyTableSettings settings;
  settings.max_response_bytes = ByteCount(10);
  KeyTable table(settings);
  const TimePoint now{seconds(1000)};
  for (const char* key : {"a", "b"}) {
    const Claim claim{RequestKey(key), Fingerprint(1)};
    REQUIRE(table.Begin(claim, Epoch(0), now) == KeyAction::kClaim);
    REQUIRE(table.Begin(claim, Epoch(0), now) == KeyAction::kWait);
    table.OnCommitted(claim.key);
    table.Finish(claim.key, {Verdict::kAnswered, 200, {}, "8 bytes."}, now);
  }
  REQUIRE(table.ResponseOf(RequestKey("a")) == nullptr);
  REQUIRE(table.ResponseOf(RequestKey("b"))->body == "8 bytes.");
  REQUIRE(table.Begin({RequestKey("a"), Fingerprint(1)}, Epoch(0), now) ==
          KeyAction::kMayHaveRun);
  table.Expire(now + settings.resend_window);
  REQUIRE(table.size() == 2);
  table.Expire(now + settings.resend_window + seconds(1));
  REQUIRE(table.size() == 0);
}

}  // namespace
}  // namespace briarspread::testing
