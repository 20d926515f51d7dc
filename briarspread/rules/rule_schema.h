#ifndef BRIARSPREAD_RULES_RULE_SCHEMA_H_
#define BRIARSPREAD_RULES_RULE_SCHEMA_H_

#include <string>
#include <string_view>
#include <vector>

#include "briarspread/rules/rule_document.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// What an argument's value looks like.
enum class ArgumentType {
  /// A name, such as a customer's.
  kName,
  /// Names with commas between.
  kNames,
  /// A number with a fraction.
  kNumber,
  /// A whole number.
  kInteger,
  /// One of some words.
  kChoice,
};

/// One argument of a kind of rule.
struct ArgumentSpec {
  /// What stands before the equals sign.
  std::string name;
  /// What stands after it.
  ArgumentType type = ArgumentType::kName;
  /// Whether it selects what the rule is about: two rules of a kind with equal
  /// selecting arguments are the same rule.
  bool selects = false;
  /// Whether it has to stand there.
  bool required = false;
  /// What holds where it does not stand there, as on the operators' page.
  std::string fallback;
  /// The least number.
  double least = 0;
  /// The greatest number.
  double most = 0;
  /// What follows the number, such as `ms`; may be empty.
  std::string unit;
  /// The words allowed, for `kChoice`.
  std::vector<std::string> choices;
};

/// One kind of rule.
struct KindSpec {
  /// The line's first word.
  std::string name;
  /// Its arguments, as on the operators' page.
  std::vector<ArgumentSpec> arguments;
  /// Whether at least one argument that does not select has to stand there.
  bool needs_a_value = false;
  /// Adds a checked rule to the typed rules.
  void (*add)(const RuleLine& rule, RuleSet& rules) = nullptr;
};

/// All kinds of rules. Thread-safe.
const std::vector<KindSpec>& RuleKinds();

/// The kind called `name`, or null. Thread-safe.
const KindSpec* FindKind(std::string_view name);

/// What an argument may be, in words for a person. Thread-safe.
std::string DescribeAllowed(const ArgumentSpec& spec);

/// Whether `value` is allowed for an argument. Thread-safe.
bool IsAllowed(const ArgumentSpec& spec, std::string_view value);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SCHEMA_H_
