#include "programs/rules/rules_commands.h"

#include <catch2/catch.hpp>

#include "programs/rules/rules_file.h"
#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

using testing::ManualClock;
using testing::MemoryStore;

constexpr char kOne[] = "queue length=1 # Rosa\n";
constexpr char kTwo[] = "queue length=2 # Luis\n";
constexpr char kDrain[] = "drain upstream=a # Luis\n";

/// A fleet status whose rows a test sets.
class FakeFleetStatus final : public FleetStatus {
 public:
  Result<std::vector<InstanceRevision>> Read() override {
    ++reads;
    if (reads >= recovers_at) rows.back().revision = Revision(99);
    return rows;
  }

  int reads = 0;
  int recovers_at = 1'000'000;
  std::vector<InstanceRevision> rows;
};

/// The commands with an in-memory store.
struct Fixture {
  CommandResult Apply(const std::string& text, const std::string& base = "") {
    options.base = base;
    options.operation = OperationId("op-" + std::to_string(++operations));
    return commands.Apply(text, options);
  }
  std::string ShowCurrent() { return commands.Show(std::nullopt).out; }

  ManualClock clock;
  MemoryStore memory;
  FakeFleetStatus fleet;
  RuleStore store{RuleStoreSettings{}, memory, clock};
  RulesCommands commands{store, fleet, clock,
                         [this](milliseconds time) { clock.Advance(time); }};
  CommandOptions options;
  int operations = 0;
};

TEST_CASE("check reports errors by the lines of the file, without a store") {
  const auto result = RulesCommands::Check("# revision: 3\nqueue # Rosa\n");
  REQUIRE(result.code == ExitCode::kBadRules);
  REQUIRE(result.json["errors"][0]["line"] == 2);
  REQUIRE(result.json["errors"][0]["found"] == "queue");
  REQUIRE(RulesCommands::Check(kOne).code == ExitCode::kOk);
}

TEST_CASE("apply takes the base revision from the first line of the file") {
  Fixture fixture;
  REQUIRE(fixture.Apply(kOne).code == ExitCode::kOk);
  REQUIRE(fixture.ShowCurrent() == std::string("# revision: 1\n") + kOne);
  const auto result = fixture.Apply(fixture.ShowCurrent() + kDrain);
  REQUIRE(result.code == ExitCode::kOk);
  REQUIRE(result.json["revision"] == 2);
  REQUIRE(result.file_text == fixture.ShowCurrent());
}

TEST_CASE("a file without its base revision does not replace other rules") {
  Fixture fixture;
  fixture.Apply(kOne);
  REQUIRE(fixture.Apply(kTwo).code == ExitCode::kUsage);
  REQUIRE(fixture.ShowCurrent() == std::string("# revision: 1\n") + kOne);
  REQUIRE(fixture.Apply(kTwo, "x").code == ExitCode::kUsage);
  REQUIRE(fixture.Apply(kTwo, "9").code == ExitCode::kFailed);
  const auto replaced = fixture.Apply(kTwo, "current");
  REQUIRE(replaced.code == ExitCode::kOk);
  REQUIRE_FALSE(replaced.file_text.has_value());
}

TEST_CASE("applying the rules in force changes nothing") {
  Fixture fixture;
  fixture.Apply(kOne);
  const auto result = fixture.Apply(kOne);
  REQUIRE(result.code == ExitCode::kOk);
  REQUIRE(result.json["changed"] == false);
  REQUIRE(result.json["revision"] == 1);
}

TEST_CASE("a file with one error is refused as a whole") {
  Fixture fixture;
  fixture.Apply(kOne);
  const auto result =
      fixture.Apply("# revision: 1\n" + std::string(kDrain) + "queue # Rosa\n");
  REQUIRE(result.code == ExitCode::kBadRules);
  REQUIRE(result.json["errors"][0]["line"] == 3);
  REQUIRE_FALSE(result.file_text.has_value());
  REQUIRE(fixture.ShowCurrent() == std::string("# revision: 1\n") + kOne);
}

TEST_CASE("racing changes are merged, or refused if they change one rule") {
  Fixture fixture;
  fixture.Apply(kOne);
  const std::string file = fixture.ShowCurrent();
  fixture.Apply("# revision: 1\n" + std::string(kTwo));
  const auto merged = fixture.Apply(file + kDrain);
  REQUIRE(merged.json["merged"] == true);
  REQUIRE(merged.file_text ==
          "# revision: 3\n" + std::string(kTwo) + std::string(kDrain));
  const auto clash = fixture.Apply("# revision: 1\nqueue length=7 # Ines\n");
  REQUIRE(clash.code == ExitCode::kClash);
  REQUIRE(clash.json["clashes"][0]["earlier"]["who"] == "Luis");
  REQUIRE(clash.err.find("line 2: 'queue length=7 # Ines'") == 0);
}

TEST_CASE("diff shows what a file would change") {
  Fixture fixture;
  fixture.Apply(std::string(kOne) + kDrain);
  const auto result = fixture.commands.Diff(kTwo);
  REQUIRE(result.code == ExitCode::kDifferent);
  REQUIRE(result.out ==
          "- drain upstream=a # Luis\n- queue length=1 # Rosa\n"
          "+ queue length=2 # Luis\n");
  REQUIRE(fixture.commands.Diff(fixture.ShowCurrent()).code == ExitCode::kOk);
}

TEST_CASE("revert makes a new revision with an old text and keeps history") {
  Fixture fixture;
  fixture.options.who = "Rosa";
  fixture.Apply(kOne);
  fixture.options.who = "Luis";
  fixture.Apply(kTwo, "1");
  const auto result = fixture.commands.Revert(
      Revision(1), {"Ines", OperationId("revert"), "", {}, {}, 20});
  REQUIRE(result.json["revision"] == 3);
  REQUIRE(fixture.ShowCurrent() == std::string("# revision: 3\n") + kOne);
  const auto history = fixture.commands.History(fixture.options).json;
  REQUIRE(history["changes"].size() == 3);
  REQUIRE(history["changes"][0]["who"] == "Ines");
  REQUIRE(history["changes"][2]["who"] == "Rosa");
  REQUIRE(fixture.commands.Show(Revision(2)).json["text"] == kTwo);
  REQUIRE(fixture.commands.Revert(Revision(9), fixture.options).code ==
          ExitCode::kFailed);
}

TEST_CASE("apply --wait ends when all live instances report the revision") {
  Fixture fixture;
  fixture.fleet.rows = {{InstanceId("entry-1"), Revision(1), ""},
                        {InstanceId("entry-2"), Revision(0), ""}};
  fixture.fleet.recovers_at = 4;
  fixture.options.wait = seconds(10);
  const auto result = fixture.Apply(kOne);
  REQUIRE(result.code == ExitCode::kOk);
  REQUIRE(result.json["in_force_on"] == 2);
  REQUIRE(fixture.fleet.reads == 4);
}

TEST_CASE("apply --wait names the instances without the new revision") {
  Fixture fixture;
  fixture.fleet.rows = {{InstanceId("entry-1"), Revision(1), ""},
                        {InstanceId("entry-2"), std::nullopt, "no answer"}};
  fixture.options.wait = seconds(2);
  const auto result = fixture.Apply(kOne);
  REQUIRE(result.code == ExitCode::kNotEverywhere);
  REQUIRE(result.json["behind"] == nlohmann::json{"entry-2"});
  REQUIRE(fixture.ShowCurrent().starts_with("# revision: 1\n"));
  REQUIRE(fixture.commands.Status().code == ExitCode::kNotEverywhere);
}

TEST_CASE("commands fail in an outage; apply recovers from a lost answer") {
  Fixture fixture;
  fixture.Apply(kOne);
  fixture.memory.SetOutage(true);
  REQUIRE(fixture.Apply(kTwo, "1").code == ExitCode::kFailed);
  REQUIRE(fixture.commands.Show(std::nullopt).code == ExitCode::kFailed);
  REQUIRE(fixture.commands.History(fixture.options).code == ExitCode::kFailed);
  REQUIRE(fixture.commands.Status().code == ExitCode::kFailed);
  REQUIRE(fixture.commands.Diff(kTwo).code == ExitCode::kFailed);
  fixture.memory.SetOutage(false);
  fixture.memory.LoseWriteAnswers(1);
  const auto result = fixture.Apply(kTwo, "1");
  REQUIRE(result.code == ExitCode::kOk);
  REQUIRE(result.json["revision"] == 2);
}

TEST_CASE("only a well-formed first line is read as the base revision") {
  REQUIRE(ReadRulesFile("# revision: 12\r\nx").base == Revision(12));
  REQUIRE(ReadRulesFile("# revision: 12").stored_text.empty());
  REQUIRE_FALSE(ReadRulesFile("# revision: -1\n").base.has_value());
  REQUIRE_FALSE(ReadRulesFile("# revision: \n").base.has_value());
  REQUIRE_FALSE(ReadRulesFile("\n# revision: 1\n").base.has_value());
}

}  // namespace
}  // namespace briarspread
