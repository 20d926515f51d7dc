#include "briarspread/contracts/at_most_once.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <thread>

#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread::testing {
namespace {

const Fingerprint kBody(7);
const HomeName kHome("home-0");

/// Three processes that share a store. `a` owns the only home, `b` is its
/// standby. Batches to a standby in `unresponsive` get no reply, and
/// connections to a standby in `dead` are refused.
class Fleet final : public StandbyClient {
 public:
  Fleet() {
    for (const char* name : {"a", "b", "c"}) nodes.push_back(MakeNode(name));
    Home home;
    home.name = kHome;
    home.owner = {InstanceId("a"), Incarnation(1)};
    home.standby = InstanceId("b");
    for (auto& node : nodes) REQUIRE(IsOk(node->CreateTable({home})));
    a().Heartbeat();
    a().Heartbeat();
  }
  ClaimBatchReply Send(const InstanceId& standby,
                       const ClaimBatch& batch) override {
    ClaimBatchReply reply;
    reply.sequence = batch.sequence;
    if (unresponsive.contains(standby.value())) return reply;
    if (dead.contains(standby.value())) {
      reply.outcome = ClaimBatchOutcome::kProcessDead;
      return reply;
    }
    return nodes.at(static_cast<std::size_t>(standby.value()[0] - 'a'))
        ->OnClaimBatch(batch);
  }
  AtMostOnce& a() { return *nodes[0]; }
  AtMostOnce& b() { return *nodes[1]; }
  AtMostOnce& c() { return *nodes[2]; }

  MemoryStore store;
  ManualClock clock;
  std::set<std::string> unresponsive, dead;
  std::vector<std::unique_ptr<AtMostOnce>> nodes;

 private:
  std::unique_ptr<AtMostOnce> MakeNode(const char* name) {
    HomeServiceSettings settings;
    settings.batching_delay = milliseconds(0);
    return std::make_unique<AtMostOnce>(
        settings, ProcessId{InstanceId(name), Incarnation(1)}, store, *this,
        clock);
  }
};

ClaimDecision BeginRequest(AtMostOnce& node, const char* key,
                           Epoch created = Epoch(0), Fingerprint body = kBody) {
  const TimePoint deadline = std::chrono::steady_clock::now() + seconds(10);
  return node.Begin(RequestKey(key), body, created, deadline);
}
bool IsRunDecision(const ClaimDecision& decision) {
  return std::holds_alternative<RunRequest>(decision);
}
Error RefusalOf(const ClaimDecision& decision) {
  REQUIRE(std::holds_alternative<Refused>(decision));
  return std::get<Refused>(decision).error;
}
bool MayHaveRun(const ClaimDecision& decision) {
  return RefusalOf(decision).verdict == Verdict::kMayHaveRun;
}

TEST_CASE("a re-send gets the stored response, another body is refused") {
  Fleet fleet;
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  fleet.a().Finish(RequestKey("k"), {Verdict::kAnswered, 200, {}, "price 4"});
  const auto again = BeginRequest(fleet.a(), "k");
  REQUIRE(std::get<StoredResponse>(again).outcome.body == "price 4");
  const Error error =
      RefusalOf(BeginRequest(fleet.a(), "k", Epoch(0), Fingerprint(8)));
  REQUIRE(error.code == ErrorCode::kInvalidArgument);
  REQUIRE(error.verdict == Verdict::kNotRun);
  REQUIRE(
      std::get<NotOwner>(BeginRequest(fleet.c(), "k")).home.owner.instance ==
      InstanceId("a"));
}

TEST_CASE("an empty, too long or unprintable key is refused") {
  Fleet fleet;
  const std::string too_long(kMaxKeyBytes + 1, 'k');
  for (const char* key : {"", "\xff", "a\n", too_long.c_str()}) {
    REQUIRE(RefusalOf(BeginRequest(fleet.a(), key)).code ==
            ErrorCode::kInvalidArgument);
  }
}

TEST_CASE("a request runs again only if its first run certainly did not") {
  Fleet fleet;
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  fleet.a().Finish(RequestKey("k"), {Verdict::kNotRun, 0, {}, {}});
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  fleet.a().Finish(RequestKey("k"), {Verdict::kMayHaveRun, 0, {}, {}});
  REQUIRE(MayHaveRun(BeginRequest(fleet.a(), "k")));
}

TEST_CASE("after a takeover the old owner's claims never run again") {
  Fleet fleet;
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  REQUIRE(IsOk(fleet.b().TakeOver(kHome, false, InstanceId("c"))));
  REQUIRE(MayHaveRun(BeginRequest(fleet.b(), "k")));
  REQUIRE(IsRunDecision(BeginRequest(fleet.b(), "new")));
  // The old owner was only paused.
  REQUIRE(std::holds_alternative<NotOwner>(BeginRequest(fleet.a(), "later")));
}

TEST_CASE("logs are trimmed after the re-send window, their length is kept") {
  Fleet fleet;
  for (int i = 0; i < 20; ++i) {
    REQUIRE(IsRunDecision(
        BeginRequest(fleet.a(), ("k" + std::to_string(i)).c_str())));
    fleet.clock.Advance(seconds(100));
    fleet.a().WriteLogs();
  }
  const auto kept = fleet.store.List("briarspread/claims/");
  REQUIRE(ValueOf(kept).size() < 10);
  REQUIRE(IsOk(fleet.b().TakeOver(kHome, false, InstanceId("c"))));
  REQUIRE(MayHaveRun(BeginRequest(fleet.b(), "k19")));
  fleet.b().Heartbeat();
  fleet.clock.Advance(seconds(700));
  fleet.b().WriteLogs();
  REQUIRE(ValueOf(fleet.store.List("briarspread/claims/home-0/1/")).empty());
  REQUIRE_FALSE(
      ValueOf(fleet.store.List("briarspread/claims/home-0/2/")).empty());
}

TEST_CASE("requests run during an outage of the store") {
  Fleet fleet;
  fleet.store.SetOutage(true);
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  SECTION("the standby of a killed owner serves, with the owner's claims") {
    REQUIRE(IsOk(fleet.b().TakeOverInMemory(kHome)));
    REQUIRE(MayHaveRun(BeginRequest(fleet.b(), "k")));
    REQUIRE(IsRunDecision(BeginRequest(fleet.b(), "new")));
    fleet.store.SetOutage(false);
    REQUIRE(IsOk(fleet.b().TakeOver(kHome, false, InstanceId("c"))));
    REQUIRE(MayHaveRun(BeginRequest(fleet.b(), "k")));
    REQUIRE(IsRunDecision(BeginRequest(fleet.b(), "newer")));
    REQUIRE(IsOk(fleet.c().TakeOver(kHome, true, InstanceId())));
    REQUIRE(MayHaveRun(BeginRequest(fleet.c(), "new")));
    REQUIRE(MayHaveRun(BeginRequest(fleet.c(), "k")));
  }
  SECTION("the takeover lease expires without heartbeats") {
    fleet.clock.Advance(seconds(3));
    REQUIRE_FALSE(IsOk(fleet.b().TakeOverInMemory(kHome)));
  }
  SECTION("new keys are refused if the standby has ended too") {
    fleet.dead.insert("b");
    const Error error = RefusalOf(BeginRequest(fleet.a(), "new"));
    REQUIRE(error.verdict == Verdict::kNotRun);
    REQUIRE(error.retry_after.has_value());
  }
  SECTION("a standby that responds after its lease expired is used again") {
    fleet.unresponsive.insert("b");
    fleet.clock.Advance(seconds(9));
    REQUIRE(RefusalOf(BeginRequest(fleet.a(), "new")).verdict ==
            Verdict::kNotRun);
    fleet.unresponsive.clear();
    REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "new")));
  }
}

TEST_CASE("a third instance takes over only if the standby has ended") {
  Fleet fleet;
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  fleet.clock.Advance(seconds(1));
  fleet.a().WriteLogs();
  REQUIRE_FALSE(IsOk(fleet.c().TakeOver(kHome, false, InstanceId())));
  REQUIRE(IsOk(fleet.c().TakeOver(kHome, true, InstanceId())));
  // The owner and the standby are both lost, so only keys created after the
  // takeover are known to be new.
  REQUIRE(MayHaveRun(BeginRequest(fleet.c(), "unknown")));
  REQUIRE(
      IsRunDecision(BeginRequest(fleet.c(), "new", fleet.c().table().epoch)));
  REQUIRE(MayHaveRun(BeginRequest(fleet.c(), "k", fleet.c().table().epoch)));
}

TEST_CASE("a dead standby is removed in the log despite a lost response") {
  Fleet fleet;
  fleet.dead.insert("b");
  fleet.store.LoseWriteAnswers(1);
  REQUIRE(IsRunDecision(BeginRequest(fleet.a(), "k")));
  REQUIRE(IsOk(fleet.c().TakeOver(kHome, false, InstanceId())));
  REQUIRE(MayHaveRun(BeginRequest(fleet.c(), "k")));
  REQUIRE(IsRunDecision(BeginRequest(fleet.c(), "new")));
}

TEST_CASE("requests with the same keys on many threads run once per key") {
  Fleet fleet;
  constexpr int kThreads = 8;
  constexpr int kKeys = 200;
  std::vector<std::atomic<int>> runs(kKeys);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&fleet, &runs] {
      for (int i = 0; i < kKeys; ++i) {
        const std::string key = "k" + std::to_string(i);
        const auto decision = BeginRequest(fleet.a(), key.c_str());
        if (!IsRunDecision(decision)) continue;
        ++runs[static_cast<std::size_t>(i)];
        fleet.a().Finish(RequestKey(key), {Verdict::kAnswered, 200, {}, key});
      }
    });
  }
  for (std::thread& it : threads) it.join();
  for (const auto& it : runs) REQUIRE(it == 1);
}

}  // namespace
}  // namespace briarspread::testing
