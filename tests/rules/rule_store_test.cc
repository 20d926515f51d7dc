#include "briarspread/rules/rule_store.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "tests/rules/hooked_store.h"
#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

using testing::HookedStore;
using testing::ManualClock;
using testing::MemoryStore;

constexpr char kHeadKey[] = "briarspread/rules";

std::string DrainText(int n, const std::string& who = "Rosa") {
  return "drain upstream=u" + std::to_string(n) + " # " + who + "\n";
}

/// An in-memory store and a rule store on it.
struct Fixture {
  explicit Fixture(std::size_t max_head_changes = 4) {
    settings.log.max_head_changes = max_head_changes;
  }

  ApplyOutcome Apply(const std::string& text, std::uint64_t base,
                     const std::string& operation) {
    return store().Apply(
        {OperationId(operation), Revision(base), text, "Rosa"});
  }
  /// Applies a text with the revision in force as its base.
  ApplyOutcome ApplyNext(const std::string& text) {
    const Revision base = InForce().revision;
    return Apply(text, base.value(), "op-" + std::to_string(++operations));
  }
  RuleText InForce() { return ValueOf(store().Read()).rules; }
  RuleStore store() { return RuleStore(settings, hooked, clock); }

  RuleStoreSettings settings;
  ManualClock clock;
  MemoryStore memory;
  HookedStore hooked{memory};
  int operations = 0;
};

Revision AcceptedRevision(const ApplyOutcome& outcome) {
  REQUIRE(std::holds_alternative<RuleAcceptance>(outcome));
  return std::get<RuleAcceptance>(outcome).in_force.revision;
}

TEST_CASE("the first change of an empty store creates revision 1") {
  Fixture fixture;
  REQUIRE(fixture.InForce().revision == Revision(0));
  REQUIRE(AcceptedRevision(fixture.Apply(DrainText(1), 0, "a")) == Revision(1));
  REQUIRE(fixture.InForce().text == DrainText(1));
}

TEST_CASE("a text with an error changes nothing") {
  Fixture fixture;
  fixture.ApplyNext(DrainText(1));
  const auto outcome = fixture.ApplyNext("drain # Rosa\n");
  REQUIRE(std::holds_alternative<std::vector<RuleError>>(outcome));
  REQUIRE(fixture.InForce() == RuleText{Revision(1), DrainText(1)});
  REQUIRE(fixture.memory.writes() == 1);
}

TEST_CASE("an unchanged text creates no new revision") {
  Fixture fixture;
  fixture.ApplyNext(DrainText(1));
  const auto outcome = fixture.ApplyNext(DrainText(1));
  REQUIRE_FALSE(std::get<RuleAcceptance>(outcome).changed);
  REQUIRE(fixture.InForce().revision == Revision(1));
}

TEST_CASE("a clash refuses the later change and names the earlier one") {
  Fixture fixture;
  fixture.ApplyNext("queue length=5 # Rosa\n");
  fixture.Apply("queue length=6 # Luis\n", 1, "a");
  const auto outcome = fixture.Apply("queue length=7 # Ines\n", 1, "b");
  const auto& clashes = std::get<std::vector<RuleClash>>(outcome);
  REQUIRE(clashes.at(0).earlier->who == "Luis");
  REQUIRE(fixture.InForce().text == "queue length=6 # Luis\n");
}

TEST_CASE("a lost answer is read back by operation id") {
  Fixture fixture;
  fixture.ApplyNext(DrainText(1));
  fixture.memory.LoseWriteAnswers(1);
  REQUIRE(AcceptedRevision(fixture.ApplyNext(DrainText(2))) == Revision(2));
  REQUIRE(fixture.InForce() == RuleText{Revision(2), DrainText(2)});
}

TEST_CASE("an outage after a lost answer is reported as kMayHaveRun") {
  Fixture fixture;
  fixture.ApplyNext(DrainText(1));
  fixture.memory.LoseWriteAnswers(1);
  // The first read precedes the write; the second one, which looks for the
  // operation id after the lost answer, fails.
  int reads = 0;
  fixture.hooked.on_read = [&](Result<std::optional<KeyValue>>& read) {
    if (++reads > 1) {
      read = Error{ErrorCode::kUnavailable, Verdict::kNotRun, "out"};
    }
  };
  const auto open = fixture.Apply(DrainText(1) + DrainText(2), 1, "x");
  REQUIRE(std::get<Error>(open).verdict == Verdict::kMayHaveRun);
  fixture.hooked.on_read = nullptr;
  const auto again = fixture.Apply(DrainText(1) + DrainText(2), 1, "x");
  REQUIRE(std::get<RuleAcceptance>(again).changed);
  REQUIRE(fixture.InForce().revision == Revision(2));
}

TEST_CASE("a repeated proposal is found behind later snapshots") {
  Fixture fixture;
  fixture.Apply(DrainText(1), 0, "x");
  for (int i = 2; i < 20; ++i) {
    fixture.ApplyNext(fixture.InForce().text + DrainText(i));
  }
  const auto again = fixture.Apply(DrainText(1), 0, "x");
  REQUIRE(AcceptedRevision(again) == Revision(19));
  REQUIRE(fixture.InForce().revision == Revision(19));
}

/// Runs twelve racing proposals: each one is applied as a whole between the
/// read and the write of its predecessor.
void RaceProposals(Fixture& fixture, const std::function<void(int)>& apply) {
  int started = 0;
  fixture.hooked.before_write = [&](const std::string& key) {
    if (key == kHeadKey && started < 12) apply(++started);
  };
  apply(++started);
  fixture.hooked.before_write = nullptr;
}

TEST_CASE("racing changes to different rules are all accepted") {
  Fixture fixture;
  fixture.ApplyNext(DrainText(0));
  RaceProposals(fixture, [&](int n) {
    const auto outcome = fixture.Apply(DrainText(0) + DrainText(n), 1,
                                       "racer-" + std::to_string(n));
    REQUIRE(std::get<RuleAcceptance>(outcome).changed);
  });
  const RuleText in_force = fixture.InForce();
  REQUIRE(in_force.revision == Revision(13));
  for (int n = 0; n <= 12; ++n) {
    REQUIRE(in_force.text.find(DrainText(n)) != std::string::npos);
  }
}

TEST_CASE("without a common base, racing operators would lose lines") {
  // Shows the failure that a common base prevents: if the base is the revision
  // in force, a rule that the operator has not seen counts as removed.
  Fixture fixture;
  fixture.ApplyNext(DrainText(0));
  fixture.ApplyNext(DrainText(0) + DrainText(1));
  fixture.ApplyNext(DrainText(0) + DrainText(2));
  REQUIRE(fixture.InForce().text.find(DrainText(1)) == std::string::npos);
}

TEST_CASE("of racing changes to one rule exactly one is accepted") {
  Fixture fixture;
  fixture.ApplyNext("queue length=1 # Rosa\n");
  int accepted = 0;
  RaceProposals(fixture, [&](int n) {
    const std::string text =
        "queue length=" + std::to_string(100 + n) + " # Rosa\n";
    const auto outcome = fixture.Apply(text, 1, "racer-" + std::to_string(n));
    if (std::holds_alternative<RuleAcceptance>(outcome)) ++accepted;
  });
  REQUIRE(accepted == 1);
  REQUIRE(fixture.InForce().revision == Revision(2));
}

TEST_CASE("older texts and the history can be read behind snapshots") {
  Fixture fixture;
  std::map<std::uint64_t, std::string> texts;
  for (int i = 1; i <= 50; ++i) {
    const std::string text =
        DrainText(i) + DrainText(i + 1) + DrainText(i % 7 + 100);
    texts[AcceptedRevision(fixture.ApplyNext(text)).value()] = text;
  }
  REQUIRE(texts.size() == 50);
  for (const auto& [revision, text] : texts) {
    REQUIRE(ValueOf(fixture.store().TextAt(Revision(revision))) == text);
  }
  REQUIRE_FALSE(IsOk(fixture.store().TextAt(Revision(51))));
  const auto history = ValueOf(fixture.store().History(1000));
  REQUIRE(history.size() == 50);
  REQUIRE(history.front().revision == Revision(50));
  REQUIRE(history.back().who == "Rosa");
  REQUIRE(ValueOf(fixture.store().History(3)).size() == 3);
}

TEST_CASE("the numbers of segments and snapshots are bounded") {
  Fixture fixture;
  fixture.settings.log.kept_segments = 3;
  for (int i = 1; i <= 100; ++i) fixture.ApplyNext(DrainText(i));
  const auto segments =
      ValueOf(fixture.memory.List("briarspread/rules-history/"));
  const auto snapshots =
      ValueOf(fixture.memory.List("briarspread/rules-snapshot/"));
  REQUIRE(segments.size() <= 4);
  REQUIRE(snapshots.size() <= 3);
  const auto history = ValueOf(fixture.store().History(1000));
  REQUIRE(history.size() < 100);
  REQUIRE(history.front().revision == Revision(100));
  REQUIRE_FALSE(IsOk(fixture.store().TextAt(Revision(2))));
}

TEST_CASE("a reader whose snapshot was deleted reads the head again") {
  Fixture fixture;
  for (int i = 1; i <= 6; ++i) fixture.ApplyNext(DrainText(i));
  bool first = true;
  fixture.hooked.on_read = [&](Result<std::optional<KeyValue>>&) {
    if (!std::exchange(first, false)) return;
    for (int i = 7; i <= 40; ++i) fixture.ApplyNext(DrainText(i));
  };
  REQUIRE(fixture.InForce() == RuleText{Revision(40), DrainText(40)});
}

TEST_CASE("no value exceeds the store's size limit") {
  Fixture fixture;
  fixture.settings.log.max_head_changes = 1000;
  std::size_t largest = 0;
  const auto big = [](char letter) {
    std::string text;
    for (int i = 0; i < 280; ++i) {
      text += "drain upstream=" + std::to_string(i) + " # " +
              std::string(900, letter) + "\n";
    }
    return text;
  };
  for (char letter = 'a'; letter < 'h'; ++letter) {
    REQUIRE(
        std::holds_alternative<RuleAcceptance>(fixture.ApplyNext(big(letter))));
    const auto all = ValueOf(fixture.memory.List(""));
    for (const KeyValue& stored : all) {
      largest = std::max(largest, stored.value.size());
    }
  }
  REQUIRE(largest < kMaxStoreValueBytes);
  REQUIRE(fixture.InForce().text == big('g'));
}

TEST_CASE("damaged records are refused with an error") {
  Fixture fixture;
  for (int i = 1; i <= 6; ++i) fixture.ApplyNext(DrainText(i));
  const std::string head = ValueOf(fixture.memory.Get(kHeadKey))->value;
  rc::prop("damaged head", [&]() {
    std::string text = head;
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text[place] = *rc::gen::arbitrary<char>();
    (void)ParseRuleHead(text);
    (void)ParseRuleSnapshot(text);
    (void)ParseRuleSegment(text);
  });
  const StoreIndex index = ValueOf(fixture.memory.Get(kHeadKey))->index;
  (void)fixture.memory.CompareAndSwap(kHeadKey, "{]", index);
  REQUIRE_FALSE(IsOk(fixture.store().Read()));
  REQUIRE(std::holds_alternative<Error>(fixture.Apply(DrainText(1), 6, "x")));
}

TEST_CASE("a line edit and its inverse are applied") {
  rc::prop("edit", [](const std::vector<bool>& a, const std::vector<bool>& b) {
    const auto text = [](const std::vector<bool>& bits) {
      std::string lines;
      for (const bool bit : bits) lines += bit ? "x\n" : "\n";
      return lines;
    };
    const LineEdit edit = EditBetween(text(a), text(b));
    RC_ASSERT(ApplyEdit(text(a), edit) == text(b));
    RC_ASSERT(ApplyEdit(text(b), InverseOf(edit)) == text(a));
  });
}

}  // namespace
}  // namespace briarspread
