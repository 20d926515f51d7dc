#ifndef BRIARSPREAD_RULES_RULE_SCHEMA_H_
#define BRIARSPREAD_RULES_RULE_SCHEMA_H_

#include <string>
#include <string_view>
#include <vector>

#include "briarspread/rules/rule_document.h"
#include "briarspread/rules/rule_set.h"

namespace briarspread {

/// The type of an argument's value.
enum class ArgumentType {
  /// A name, for example of a customer.
  kName,
  /// Names separated by commas.
  kNames,
  /// A decimal number.
  kNumber,
  /// A whole number.
  kInteger,
  /// One of a fixed set of words.
  kChoice,
};

/// Describes one argument of a kind of rule.
struct ArgumentSpec {
  /// The text before the equals sign.
  std::string name;
  /// The type of the value after the equals sign.
  ArgumentType type = ArgumentType::kName;
  /// Whether the argument selects what the rule applies to. Two rules of a kind
  /// with equal selecting arguments are the same rule.
  bool is_selector = false;
  /// Whether the argument has to be present.
  bool is_required = false;
  /// The value if the argument is absent, as the operators' page states it.
  std::string fallback;
  /// The minimum, for numbers.
  double min_value = 0;
  /// The maximum, for numbers.
  double max_value = 0;
  /// The unit that follows a number, such as `ms`; may be empty.
  std::string unit;
  /// The allowed words, for `kChoice`.
  std::vector<std::string> choices;
};

/// Describes one kind of rule.
struct KindSpec {
  /// The first word of the line.
  std::string name;
  /// The arguments, as listed on the operators' page.
  std::vector<ArgumentSpec> arguments;
  /// Whether at least one argument that does not select has to be present.
  bool needs_value = false;
  /// Converts a checked rule and adds it to the typed rules.
  void (*add)(const RuleLine& rule, RuleSet& rules) = nullptr;
};

/// Returns all kinds of rules. Thread-safe.
const std::vector<KindSpec>& RuleKinds();

/// Returns the kind called `name`, or null. Thread-safe.
const KindSpec* FindKind(std::string_view name);

/// Returns a readable description of an argument's allowed values. Thread-safe.
std::string DescribeAllowed(const ArgumentSpec& spec);

/// Returns whether `value` is allowed for an argument. Thread-safe.
bool IsAllowed(const ArgumentSpec& spec, std::string_view value);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_SCHEMA_H_
