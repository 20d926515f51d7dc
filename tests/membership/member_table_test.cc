#include "briarspread/membership/member_table.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"

namespace briarspread {
namespace {

using testing::ManualClock;

MemberRecord MakeRecord(const std::string& id, std::uint64_t incarnation,
                        std::uint32_t refutations, Liveness liveness) {
  MemberRecord record;
  record.id = InstanceId(id);
  record.version = {Incarnation(incarnation), refutations};
  record.liveness = liveness;
  return record;
}

ListedInstance MakeListed(const std::string& name, ListedState state) {
  ListedInstance listed;
  listed.name = name;
  listed.state = state;
  return listed;
}

MemberTable MakeTable(const Clock& clock) {
  return {MemberTableSettings{}, MakeRecord("self", 7, 0, Liveness::kAlive),
          clock};
}

MemberRecord AnyRecord() {
  MemberRecord record = MakeRecord(
      "peer", *rc::gen::inRange(0, 3), *rc::gen::inRange<std::uint32_t>(0, 3),
      static_cast<Liveness>(*rc::gen::inRange(0, 3)));
  record.leaving = *rc::gen::arbitrary<bool>();
  record.rules_revision = Revision(*rc::gen::inRange(0, 4));
  // One incarnation has one address and one locality.
  record.endpoint.port =
      static_cast<std::uint16_t>(record.version.incarnation.value());
  return record;
}

MemberRecord Merged(MemberRecord a, const MemberRecord& b) {
  MergeRecord(a, b);
  return a;
}

/// Returns the liveness by a merge without incarnations, in which the worst
/// record wins.
Liveness WorstOf(const std::vector<MemberRecord>& statements) {
  Liveness worst = Liveness::kAlive;
  for (const auto& it : statements) worst = std::max(worst, it.liveness);
  return worst;
}

const InstanceId kPeer("peer");

}  // namespace

TEST_CASE("the merge of records does not depend on the order") {
  rc::prop("commutative, associative, idempotent", [] {
    const MemberRecord a = AnyRecord();
    const MemberRecord b = AnyRecord();
    const MemberRecord c = AnyRecord();
    RC_ASSERT(Merged(a, b) == Merged(b, a));
    RC_ASSERT(Merged(Merged(a, b), c) == Merged(a, Merged(b, c)));
    RC_ASSERT(Merged(a, a) == a);
  });
}

TEST_CASE("a stale 'dead' does not win over a restart") {
  const MemberRecord stale = MakeRecord("peer", 1, 3, Liveness::kDead);
  const MemberRecord restarted = MakeRecord("peer", 2, 0, Liveness::kAlive);
  // Without incarnations the restarted process would stay dead.
  CHECK(WorstOf({restarted, stale}) == Liveness::kDead);

  ManualClock clock;
  MemberTable table = MakeTable(clock);
  table.Merge(restarted);
  table.Merge(stale);
  CHECK(table.State(kPeer) == MemberState::kAlive);
}

TEST_CASE("only a restart ends the leaving state") {
  ManualClock clock;
  MemberTable table = MakeTable(clock);
  MemberRecord peer = MakeRecord("peer", 1, 0, Liveness::kAlive);
  peer.leaving = true;
  table.Merge(peer);
  CHECK(table.State(kPeer) == MemberState::kLeaving);
  table.Merge(MakeRecord("peer", 1, 5, Liveness::kAlive));
  CHECK(table.State(kPeer) == MemberState::kLeaving);
  table.Merge(MakeRecord("peer", 2, 0, Liveness::kAlive));
  CHECK(table.State(kPeer) == MemberState::kAlive);
}

TEST_CASE("a member that announced its leaving is leaving despite the list") {
  ManualClock clock;
  MemberTable table = MakeTable(clock);
  table.ApplyList({MakeListed("peer", ListedState::kLive)});
  CHECK(table.State(kPeer) == MemberState::kAlive);
  MemberRecord peer = MakeRecord("peer", 1, 0, Liveness::kAlive);
  peer.leaving = true;
  table.Merge(peer);
  table.ApplyList({MakeListed("peer", ListedState::kLive)});
  CHECK(table.State(kPeer) == MemberState::kLeaving);
}

TEST_CASE("only the first record of a live listed member is not forwarded") {
  ManualClock clock;
  MemberTable table = MakeTable(clock);
  table.ApplyList({MakeListed("peer", ListedState::kLive)});
  CHECK_FALSE(table.Merge(MakeRecord("peer", 1, 0, Liveness::kAlive)));
  CHECK(table.Merge(MakeRecord("peer", 2, 0, Liveness::kAlive)));
  CHECK(table.Merge(MakeRecord("unlisted", 1, 0, Liveness::kAlive)));
  table.ApplyList({MakeListed("other", ListedState::kLive)});
  table.Suspect(InstanceId("other"));
  CHECK(table.Merge(MakeRecord("other", 1, 0, Liveness::kAlive)));
}

TEST_CASE("the leaving state of the list applies until a later incarnation") {
  ManualClock clock;
  MemberTable table = MakeTable(clock);
  table.ApplyList({MakeListed("peer", ListedState::kLeaving)});
  table.Merge(MakeRecord("peer", 1, 0, Liveness::kAlive));
  CHECK(table.State(kPeer) == MemberState::kLeaving);
  table.Merge(MakeRecord("peer", 2, 0, Liveness::kAlive));
  CHECK(table.State(kPeer) == MemberState::kAlive);
}

TEST_CASE("a refutation does not change the incarnation") {
  ManualClock clock;
  MemberTable table = MakeTable(clock);
  CHECK(table.Merge(MakeRecord("self", 7, 0, Liveness::kSuspect)));
  CHECK(table.self().version == MemberVersion{Incarnation(7), 1});
  // A refuted suspicion and one of an earlier incarnation are ignored.
  CHECK_FALSE(table.Merge(MakeRecord("self", 7, 0, Liveness::kDead)));
  CHECK_FALSE(table.Merge(MakeRecord("self", 6, 9, Liveness::kDead)));
  CHECK_FALSE(table.is_superseded());
  table.Merge(MakeRecord("self", 8, 0, Liveness::kAlive));
  CHECK(table.is_superseded());
}

TEST_CASE("a suspect becomes dead after the timeout and is removed later") {
  ManualClock clock;
  MemberTable table = MakeTable(clock);
  table.Merge(MakeRecord("peer", 1, 0, Liveness::kAlive));
  CHECK(table.Suspect(kPeer));
  clock.Advance(seconds(7));
  CHECK(table.Expire().empty());
  CHECK(table.State(kPeer) == MemberState::kSuspect);
  clock.Advance(seconds(2));
  CHECK(table.Expire() == std::vector<InstanceId>{kPeer});
  CHECK(table.State(kPeer) == MemberState::kDead);
  clock.Advance(seconds(601));
  table.Expire();
  CHECK_FALSE(table.State(kPeer).has_value());
}

TEST_CASE("the table refuses members beyond its maximum size") {
  ManualClock clock;
  MemberTableSettings settings;
  settings.max_members = 2;
  MemberTable table(settings, MakeRecord("self", 7, 0, Liveness::kAlive),
                    clock);
  for (int i = 0; i < 5; ++i) {
    table.Merge(MakeRecord("m" + std::to_string(i), 1, 0, Liveness::kAlive));
  }
  CHECK(table.size() == 2);
}

}  // namespace briarspread
