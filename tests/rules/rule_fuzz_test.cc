#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "briarspread/rules/rule_parser.h"
#include "tests/rules/rule_texts.h"

namespace briarspread {
namespace {

using testing::AnyRulesText;

TEST_CASE("arbitrary bytes are parsed or refused with bounded errors") {
  rc::prop("arbitrary bytes", [](const std::string& bytes) {
    const auto parsed = ParseRules(bytes);
    if (const auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
      RC_ASSERT(!errors->empty());
      RC_ASSERT(errors->size() <= kMaxRuleErrors);
      for (const RuleError& error : *errors) {
        RC_ASSERT(error.line >= 1U);
        RC_ASSERT(error.column >= 1U);
        RC_ASSERT(!Describe(error).empty());
      }
    }
  });
}

TEST_CASE("a text with one byte changed is parsed or refused") {
  rc::prop("damaged rules", []() {
    std::string text = AnyRulesText();
    if (text.empty()) return;
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text[place] = *rc::gen::arbitrary<char>();
    ParseRules(text);
  });
}

TEST_CASE("parsing what was formatted gives the same rules") {
  rc::prop("parse(format(rules)) is rules", []() {
    const std::string text = AnyRulesText();
    const auto document = std::get<RuleDocument>(ParseDocument(text));
    const std::string formatted = FormatDocument(document);
    RC_ASSERT(FormatDocument(std::get<RuleDocument>(
                  ParseDocument(formatted))) == formatted);
    RC_ASSERT(std::get<RuleSet>(ParseRules(formatted)) ==
              std::get<RuleSet>(ParseRules(text)));
    std::string plain;
    for (const RuleLine& rule : document.rules) {
      plain += FormatRule(rule) + "\n";
    }
    RC_ASSERT(std::get<RuleSet>(ParseRules(plain)) ==
              std::get<RuleSet>(ParseRules(text)));
  });
}

TEST_CASE("a text over the bounds on sizes is refused") {
  const auto refuses = [](const std::string& text) {
    return std::holds_alternative<std::vector<RuleError>>(ParseRules(text));
  };
  REQUIRE(refuses(std::string(kMaxRulesBytes + 1, '\n')));
  REQUIRE_FALSE(refuses(std::string(kMaxRulesBytes, '\n')));
  REQUIRE(refuses("drain upstream=a # " + std::string(kMaxRuleLineBytes, 'a')));
  std::string many;
  for (std::size_t i = 0; i <= kMaxRules; ++i) {
    many += "drain upstream=" + std::to_string(i) + " # Rosa\n";
  }
  REQUIRE(refuses(many));
  const auto errors =
      std::get<std::vector<RuleError>>(ParseRules(std::string(9999, '\x01')));
  REQUIRE(errors.size() == 1);
}

}  // namespace
}  // namespace briarspread
