#include "briarspread/rules/rule_merge.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "tests/rules/rule_texts.h"

namespace briarspread {
namespace {

using testing::AnyRuleLine;
using testing::AnyRulesText;

RuleDocument Document(const std::string& text) {
  return std::get<RuleDocument>(ParseDocument(text));
}

std::string Merged(const std::string& base, const std::string& theirs,
                   const std::string& ours) {
  const auto merged =
      MergeRules(Document(base), Document(theirs), Document(ours));
  const auto* document = std::get_if<RuleDocument>(&merged);
  return document == nullptr ? "clash" : FormatDocument(*document);
}

std::map<RuleIdentity, std::string> Lines(const std::string& text) {
  std::map<RuleIdentity, std::string> lines;
  for (const RuleLine& rule : Document(text).rules) {
    lines[IdentityOf(rule)] = FormatRule(rule);
  }
  return lines;
}

/// Returns `text` with random rules removed, changed and added.
std::string RandomlyEdited(const std::string& text) {
  std::string edited;
  for (const RuleLine& rule : Document(text).rules) {
    const int what = *rc::gen::inRange(0, 6);
    if (what == 0) continue;
    const std::string who = what == 1 ? " again" : "";
    edited += rule.text + who + "\n";
  }
  const int added = *rc::gen::inRange(0, 4);
  for (int i = 0; i < added; ++i) {
    const std::string longer = edited + AnyRuleLine() + "\n";
    if (std::holds_alternative<RuleSet>(ParseRules(longer))) edited = longer;
  }
  return edited;
}

TEST_CASE("changes to different rules are both kept") {
  const std::string base = "drain upstream=a # Rosa\nqueue length=5 # Rosa\n";
  REQUIRE(Merged(base, base + "drain upstream=b # Luis\n",
                 "# why\ndrain upstream=a # Rosa\nqueue length=6 # Ines\n") ==
          "# why\ndrain upstream=a # Rosa\nqueue length=6 # Ines\n"
          "drain upstream=b # Luis\n");
  REQUIRE(Merged(base, base, "queue length=5 # Rosa\n") ==
          "queue length=5 # Rosa\n");
}

TEST_CASE("a clash describes the earlier rule and who asked for it") {
  const auto merged = MergeRules(Document("queue length=5 # Rosa\n"),
                                 Document("queue length=6 # Luis\n"),
                                 Document("queue length=7 # Ines\n"));
  const auto& clashes = std::get<std::vector<RuleClash>>(merged);
  REQUIRE(clashes.size() == 1);
  REQUIRE(Describe(clashes[0]) ==
          "line 1: 'queue length=7 # Ines' clashes with the earlier 'queue "
          "length=6 # Luis', asked for by Luis");
}

TEST_CASE("removal and change of the same rule clash in either order") {
  const std::string base = "queue length=5 # Rosa\n";
  const std::string changed = "queue length=6 # Rosa\n";
  REQUIRE(Merged(base, changed, "") == "clash");
  REQUIRE(Merged(base, "", changed) == "clash");
  REQUIRE(Merged(base, "", "").empty());
  REQUIRE(Merged(base, changed, changed) == changed);
}

TEST_CASE("an added wide rule does not cover an added narrow one") {
  const std::string narrow = "queue class=quote length=5 # Rosa\n";
  const std::string wide = "queue length=6 # Luis\n";
  REQUIRE(Merged("", wide, narrow) == narrow + wide);
  REQUIRE(Merged("", narrow, wide) == narrow + wide);
}

TEST_CASE("the order of one side is kept, two different orders clash") {
  const std::string a = "limit customer=a rate=1/s # Rosa\n";
  const std::string b = "limit class=b rate=2/s # Rosa\n";
  const std::string c = "limit customer=c rate=3/s # Rosa\n";
  const std::string drain = "drain upstream=x # Luis\n";
  REQUIRE(Merged(a + b, a + drain + b, b + a) == b + drain + a);
  REQUIRE(Merged(a + b, b + a, a + b + drain) == b + drain + a);
  REQUIRE(Merged(a + b + c, b + a + c, a + c + b) == "clash");
}

TEST_CASE("a merge keeps all changes of both sides and parses") {
  rc::prop("racing operators", []() {
    const std::string base = AnyRulesText();
    const std::string theirs = RandomlyEdited(base);
    const std::string ours = RandomlyEdited(base);
    const auto merged =
        MergeRules(Document(base), Document(theirs), Document(ours));
    const auto* document = std::get_if<RuleDocument>(&merged);
    if (document == nullptr) {
      RC_ASSERT(!std::get<std::vector<RuleClash>>(merged).empty());
      return;
    }
    const std::string text = FormatDocument(*document);
    RC_ASSERT(std::holds_alternative<RuleSet>(ParseRules(text)));
    auto expected = Lines(theirs);
    const auto base_lines = Lines(base);
    const auto our_lines = Lines(ours);
    for (const auto& [identity, line] : base_lines) {
      if (!our_lines.contains(identity)) expected.erase(identity);
    }
    for (const auto& [identity, line] : our_lines) {
      const auto it = base_lines.find(identity);
      const bool changed = it == base_lines.end() || it->second != line;
      if (changed) expected[identity] = line;
    }
    RC_ASSERT(Lines(text) == expected);
  });
}

TEST_CASE("a merge with an unchanged side returns the other side") {
  rc::prop("identity", []() {
    const std::string base = AnyRulesText();
    const std::string other = RandomlyEdited(base);
    RC_ASSERT(Lines(Merged(base, other, base)) == Lines(other));
    RC_ASSERT(Lines(Merged(base, base, other)) == Lines(other));
  });
}

}  // namespace
}  // namespace briarspread
