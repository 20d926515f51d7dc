#include "briarspread/rules/rule_parser.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

#include "briarspread/rules/rule_schema.h"

namespace briarspread {
namespace {

/// Checks the rules of a document against their kinds.
class DocumentChecker {
 public:
  explicit DocumentChecker(std::vector<RuleError>& errors) : errors_(errors) {}

  void Check(const RuleDocument& document) {
    for (const RuleLine& rule : document.rules) {
      const KindSpec* kind = FindKind(rule.kind);
      if (kind == nullptr) {
        Fail(rule, rule.column, rule.kind, KindNames());
        continue;
      }
      CheckArguments(*kind, rule);
      CheckReachable(rule);
    }
  }

 private:
  static std::string KindNames() {
    std::string names = "one of";
    for (const KindSpec& kind : RuleKinds()) {
      names += (names.size() > 6 ? ", " : " ") + kind.name;
    }
    return names;
  }

  static std::string ArgumentNames(const KindSpec& kind) {
    std::string names;
    for (const ArgumentSpec& spec : kind.arguments) {
      names += (names.empty() ? "" : ", ") + spec.name;
    }
    return "no such argument for " + kind.name + ", which has " + names;
  }

  void Fail(const RuleLine& rule, std::size_t column, const std::string& found,
            const std::string& allowed) {
    if (errors_.size() >= kMaxRuleErrors) return;
    errors_.push_back({rule.number, column, found, allowed});
  }

  void CheckArguments(const KindSpec& kind, const RuleLine& rule) {
    for (const ArgumentSpec& spec : kind.arguments) {
      const RuleArgument* argument = rule.Find(spec.name);
      if (argument == nullptr && spec.is_required) {
        Fail(rule, rule.column, rule.kind,
             spec.name +
                 "=... is required after this kind: " + DescribeAllowed(spec));
      }
      if (argument != nullptr && !IsAllowed(spec, argument->value)) {
        Fail(rule, argument->column, argument->value, DescribeAllowed(spec));
      }
    }
    for (const RuleArgument& argument : rule.arguments) {
      if (FindArgument(kind, argument.name) != nullptr) continue;
      Fail(rule, argument.column - argument.name.size() - 1, argument.name,
           ArgumentNames(kind));
    }
    if (kind.needs_value && !HasValue(kind, rule)) {
      Fail(rule, rule.column, rule.kind, "at least one limit after this kind");
    }
  }

  static const ArgumentSpec* FindArgument(const KindSpec& kind,
                                          const std::string& name) {
    const auto it = std::find_if(
        kind.arguments.begin(), kind.arguments.end(),
        [&](const ArgumentSpec& spec) { return spec.name == name; });
    return it == kind.arguments.end() ? nullptr : &*it;
  }

  static bool HasValue(const KindSpec& kind, const RuleLine& rule) {
    return std::any_of(kind.arguments.begin(), kind.arguments.end(),
                       [&](const ArgumentSpec& spec) {
                         return !spec.is_selector &&
                                rule.Find(spec.name) != nullptr;
                       });
  }

  /// Reports an error for a rule that is covered by an earlier one: it could
  /// never take effect, and every accepted line has to be in force.
  void CheckReachable(const RuleLine& rule) {
    const RuleIdentity identity = IdentityOf(rule);
    auto& earlier = seen_[rule.kind];
    for (const auto& [other, line] : earlier) {
      if (!Covers(other, identity)) continue;
      Fail(rule, rule.column, FormatRule(rule),
           "a place above line " + std::to_string(line) +
               ", which already matches all that this rule matches");
      break;
    }
    earlier.emplace_back(identity, rule.number);
  }

  /// Receives the errors.
  std::vector<RuleError>& errors_;
  /// The rules checked so far and their line numbers, by kind.
  std::map<std::string, std::vector<std::pair<RuleIdentity, std::size_t>>>
      seen_;
};

}  // namespace

std::variant<RuleDocument, std::vector<RuleError>> ParseDocument(
    std::string_view text) {
  std::vector<RuleError> errors;
  RuleDocument document = ReadDocument(text, errors);
  DocumentChecker(errors).Check(document);
  if (errors.empty()) return document;
  std::stable_sort(
      errors.begin(), errors.end(),
      [](const RuleError& a, const RuleError& b) { return a.line < b.line; });
  return errors;
}

std::variant<RuleSet, std::vector<RuleError>> ParseRules(
    std::string_view text) {
  auto parsed = ParseDocument(text);
  if (auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
    return std::move(*errors);
  }
  RuleSet rules;
  for (const RuleLine& line : std::get<RuleDocument>(parsed).rules) {
    FindKind(line.kind)->add(line, rules);
  }
  return rules;
}

RuleIdentity IdentityOf(const RuleLine& rule) {
  const KindSpec* kind = FindKind(rule.kind);
  assert(kind != nullptr);
  RuleIdentity identity;
  identity.kind = rule.kind;
  for (const ArgumentSpec& spec : kind->arguments) {
    if (!spec.is_selector) continue;
    const RuleArgument* argument = rule.Find(spec.name);
    identity.selectors.push_back(argument == nullptr ? spec.fallback
                                                     : argument->value);
  }
  return identity;
}

bool Covers(const RuleIdentity& rule, const RuleIdentity& other) {
  if (rule.kind != other.kind) return false;
  for (std::size_t i = 0; i < rule.selectors.size(); ++i) {
    if (rule.selectors[i] != kAny && rule.selectors[i] != other.selectors[i]) {
      return false;
    }
  }
  return true;
}

}  // namespace briarspread
