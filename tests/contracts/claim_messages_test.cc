#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/contracts/claim_log.h"
#include "briarspread/contracts/home_table.h"
#include "tests/support/memory_store.h"

namespace briarspread::testing {
namespace {

const HomeName kHome("h");

rc::Gen<std::vector<Claim>> Claims() {
  const auto key =
      rc::gen::map(rc::gen::container<std::string>(rc::gen::inRange(' ', '~')),
                   [](const std::string& text) {
                     return ("k" + text).substr(0, kMaxKeyBytes);
                   });
  return rc::gen::container<std::vector<Claim>>(rc::gen::apply(
      [](const std::string& text, std::uint64_t body) {
        return Claim{RequestKey(text), Fingerprint(body)};
      },
      key, rc::gen::arbitrary<std::uint64_t>()));
}

TEST_CASE("serialized claim messages parse to the same values") {
  rc::prop("segments and batches", [](bool flag, std::uint32_t number) {
    ClaimSegment segment;
    segment.operation = OperationId("a.1.2");
    segment.is_seal = flag;
    segment.is_complete = !flag;
    segment.has_gap = flag;
    if (flag) segment.standby = ProcessId{InstanceId("b"), Incarnation(number)};
    segment.claims = *Claims();
    RC_ASSERT(ValueOf(ParseClaimSegment(ToJson(segment))) == segment);
    const ClaimBatch batch{kHome, Epoch(3), number,        Incarnation(2),
                           flag,  number,   segment.claims};
    RC_ASSERT(ValueOf(ParseClaimBatch(ToJson(batch))) == batch);
    const ClaimBatchReply reply{ClaimBatchOutcome::kDeposed, number,
                                Incarnation(1), number};
    RC_ASSERT(ValueOf(ParseClaimBatchReply(ToJson(reply))) == reply);
  });
}

TEST_CASE("malformed claim messages are rejected") {
  rc::prop("any text", [](const std::string& text) {
    RC_ASSERT(!IsOk(ParseClaimSegment(text)));
    RC_ASSERT(!IsOk(ParseClaimBatch(text)));
    RC_ASSERT(!IsOk(ParseClaimBatchReply(text)));
    RC_ASSERT(!IsOk(ParseHomeTable(text)));
  });
  rc::prop("a truncated message", [] {
    ClaimSegment segment;
    segment.claims = *Claims();
    const std::string whole = ToJson(segment);
    const auto n = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!IsOk(ParseClaimSegment(whole.substr(0, n))));
  });
  REQUIRE_FALSE(IsOk(ParseClaimBatchReply(
      R"({"outcome":9,"sequence":1,"incarnation":1,"ack":1})")));
}

TEST_CASE("a full segment of maximum-length keys fits in a store value") {
  ClaimSegment segment;
  for (std::size_t i = 0; i < kMaxBatchClaims; ++i) {
    segment.claims.push_back({RequestKey(std::string(kMaxKeyBytes, 'k')),
                              Fingerprint(~std::uint64_t{0})});
  }
  REQUIRE(ToJson(segment).size() < kMaxStoreValueBytes);
}

TEST_CASE("an append after a seal fails, a seal reads earlier appends") {
  MemoryStore store;
  ClaimLog log(store);
  ClaimSegment segment;
  segment.operation = OperationId("owner.1");
  segment.is_complete = true;
  segment.claims = {{RequestKey("k"), Fingerprint(1)}};
  REQUIRE(log.Append(kHome, Epoch(1), 0, segment) == AppendResult::kAppended);
  const auto sealed = log.Seal(kHome, Epoch(1), OperationId("successor"));
  REQUIRE(ValueOf(sealed).claims == segment.claims);
  REQUIRE(ValueOf(sealed).is_complete);
  segment.operation = OperationId("owner.2");
  REQUIRE(log.Append(kHome, Epoch(1), 1, segment) == AppendResult::kSealed);
  const auto again = log.Seal(kHome, Epoch(1), OperationId("another"));
  REQUIRE(ValueOf(again) == ValueOf(sealed));
  REQUIRE(ValueOf(log.ReadAllTerms(kHome)) == segment.claims);
}

TEST_CASE("writes whose response was lost are read back") {
  MemoryStore store;
  ClaimLog log(store);
  ClaimSegment segment;
  segment.operation = OperationId("owner.1");
  store.LoseWriteAnswers(1);
  REQUIRE(log.Append(kHome, Epoch(1), 0, segment) == AppendResult::kAppended);
  store.LoseWriteAnswers(1);
  REQUIRE(IsOk(log.Seal(kHome, Epoch(1), OperationId("successor"))));
  HomeTableStore tables(store);
  HomeTable table{Epoch(1), OperationId("t.1"), {Home{kHome, {}, {}, {}}}};
  store.LoseWriteAnswers(1);
  REQUIRE(IsOk(tables.Replace(StoreIndex(0), table)));
  REQUIRE(ValueOf(tables.Read()).table == table);
  table.operation = OperationId("t.2");
  const Status second = tables.Replace(StoreIndex(0), table);
  REQUIRE(ErrorOf(second).code == ErrorCode::kConflict);
  store.SetOutage(true);
  REQUIRE(log.Append(kHome, Epoch(1), 2, segment) ==
          AppendResult::kUnavailable);
}

TEST_CASE("a standby is another instance, in another zone if possible") {
  rc::prop("standby", [] {
    const auto zones =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    RC_PRE(!zones.empty());
    std::vector<StandbyCandidate> all;
    for (std::size_t i = 0; i < zones.size(); ++i) {
      all.push_back({InstanceId("i" + std::to_string(i)),
                     ZoneId("z" + std::to_string(zones[i]))});
    }
    const StandbyCandidate& owner = all.front();
    const InstanceId chosen = ChooseStandby(kHome, owner, all);
    RC_ASSERT(chosen.value().empty() == (all.size() == 1));
    bool has_other_zone = false;
    for (const auto& it : all) {
      has_other_zone = has_other_zone || it.zone != owner.zone;
    }
    for (const auto& it : all) {
      if (it.instance != chosen) continue;
      RC_ASSERT(chosen != owner.instance);
      RC_ASSERT(!has_other_zone || it.zone != owner.zone);
    }
  });
}

}  // namespace
}  // namespace briarspread::testing
