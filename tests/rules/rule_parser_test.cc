#include "briarspread/rules/rule_parser.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

std::vector<RuleError> ErrorsOf(std::string_view text) {
  const auto parsed = ParseRules(text);
  const auto* errors = std::get_if<std::vector<RuleError>>(&parsed);
  return errors == nullptr ? std::vector<RuleError>{} : *errors;
}

TEST_CASE("the first matching rule in the order of the file takes effect") {
  const auto parsed = ParseRules(
      "# Mantaro\n"
      "priority customer=andes class=quote level=0 deadline=800ms # Rosa\n"
      "priority level=9 # Rosa\n"
      "idempotent service=stock method=GET value=yes # Luis\n"
      "drain upstream=desk-2 # Luis\n");
  const auto& rules = std::get<RuleSet>(parsed);
  const PriorityRule quote =
      rules.PriorityOf(CustomerId("andes"), RequestClass("quote"));
  REQUIRE(quote.level == 0);
  REQUIRE(quote.deadline == milliseconds(800));
  REQUIRE(rules.PriorityOf(CustomerId("x"), RequestClass("y")).level == 9);
  REQUIRE(rules.IsIdempotent(ServiceName("stock"), "GET"));
  REQUIRE_FALSE(rules.IsIdempotent(ServiceName("stock"), "POST"));
  REQUIRE(rules.IsDrained(UpstreamId("desk-2")));
}

TEST_CASE("an error names its line, column, text and what is allowed") {
  const auto errors = ErrorsOf("\npriority level=12 # Rosa\n");
  REQUIRE(errors.size() == 1);
  REQUIRE(Describe(errors[0]) ==
          "line 2, column 16: found '12', allowed: a whole number "
          "from 0 to 9");
}

TEST_CASE("a rule without requester, known kind or valid argument is refused") {
  REQUIRE(ErrorsOf("drain upstream=a").size() == 1);
  REQUIRE(ErrorsOf("stop upstream=a # Rosa").size() == 1);
  REQUIRE(ErrorsOf("drain upstream=a colour=red # Rosa").size() == 1);
  REQUIRE(ErrorsOf("drain # Rosa").size() == 1);
}

}  // namespace
}  // namespace briarspread
