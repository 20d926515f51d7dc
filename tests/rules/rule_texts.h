#ifndef TESTS_RULES_RULE_TEXTS_H_
#define TESTS_RULES_RULE_TEXTS_H_

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "briarspread/rules/rule_parser.h"
#include "briarspread/rules/rule_schema.h"

namespace briarspread::testing {

/// Returns a generator of allowed values of an argument.
inline rc::Gen<std::string> AnyValue(const ArgumentSpec& spec) {
  switch (spec.type) {
    case ArgumentType::kName:
      return rc::gen::element<std::string>("*", "a", "b", "c", "d", "e=f");
    case ArgumentType::kNames:
      return rc::gen::element<std::string>("*", "a", "a,b", "b,c,d");
    case ArgumentType::kChoice:
      return rc::gen::elementOf(spec.choices);
    case ArgumentType::kNumber:
    case ArgumentType::kInteger:
      break;
  }
  const auto min_value = static_cast<int>(spec.min_value);
  const auto max_value = static_cast<int>(spec.max_value);
  const std::string unit = spec.unit;
  return rc::gen::map(
      rc::gen::inRange(std::max(min_value, max_value > 1 ? 1 : 0),
                       max_value + 1),
      [unit](int n) { return std::to_string(n) + unit; });
}

/// Returns a random rule line that parses by itself.
inline std::string AnyRuleLine() {
  const KindSpec kind = *rc::gen::elementOf(RuleKinds());
  std::string line = kind.name;
  for (const ArgumentSpec& spec : kind.arguments) {
    const bool stands =
        spec.is_required || kind.needs_value || *rc::gen::arbitrary<bool>();
    if (stands) line += " " + spec.name + "=" + *AnyValue(spec);
  }
  const auto who = *rc::gen::element<std::string>("Rosa", "Luis, warehouse",
                                                  "J\xc3\xbcrgen # 2");
  return line + "  # " + who;
}

/// Returns a random text that parses: rules of which none covers a later one,
/// with comments and blank lines between them.
inline std::string AnyRulesText() {
  std::string text;
  const int count = *rc::gen::inRange(0, 12);
  for (int i = 0; i < count; ++i) {
    if (*rc::gen::inRange(0, 5) == 0) text += "# a heading\n\n";
    const std::string longer = text + AnyRuleLine() + "\n";
    if (std::holds_alternative<RuleSet>(ParseRules(longer))) text = longer;
  }
  return text;
}

}  // namespace briarspread::testing

#endif  // TESTS_RULES_RULE_TEXTS_H_
