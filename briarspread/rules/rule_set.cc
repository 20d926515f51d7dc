#include "briarspread/rules/rule_set.h"

#include <algorithm>

namespace briarspread {
namespace {

bool Matches(const std::string& pattern, const std::string& text) {
  return pattern == kAny || pattern == text;
}

/// Returns the first rule for which `matches` is true, or null.
template <typename Rule, typename Predicate>
const Rule* FirstMatch(const std::vector<Rule>& rules, Predicate matches) {
  const auto it = std::find_if(rules.begin(), rules.end(), matches);
  return it == rules.end() ? nullptr : &*it;
}

/// Returns the first rule for a class, or null.
template <typename Rule>
const Rule* FirstOfClass(const std::vector<Rule>& rules,
                         const RequestClass& request_class) {
  return FirstMatch(rules, [&](const Rule& rule) {
    return Matches(rule.request_class.value(), request_class.value());
  });
}

/// Returns the first rule for a model or service, or null.
template <typename Rule>
const Rule* FirstServing(const std::vector<Rule>& rules,
                         const std::string& serves) {
  return FirstMatch(
      rules, [&](const Rule& rule) { return Matches(rule.serves, serves); });
}

/// Returns the first rule for a customer's requests of a class, or null.
template <typename Rule>
const Rule* FirstOfCustomer(const std::vector<Rule>& rules,
                            const CustomerId& customer,
                            const RequestClass& request_class) {
  return FirstMatch(rules, [&](const Rule& rule) {
    return Matches(rule.customer.value(), customer.value()) &&
           Matches(rule.request_class.value(), request_class.value());
  });
}

/// Returns the rule, or the defaults of its kind if there is none.
template <typename Rule>
Rule OrDefaults(const Rule* rule) {
  return rule == nullptr ? Rule{} : *rule;
}

template <typename Rule>
std::optional<Rule> ToOptional(const Rule* rule) {
  return rule == nullptr ? std::nullopt : std::optional<Rule>(*rule);
}

}  // namespace

PriorityRule RuleSet::PriorityOf(const CustomerId& customer,
                                 const RequestClass& request_class) const {
  return OrDefaults(FirstOfCustomer(priorities, customer, request_class));
}

bool RuleSet::IsIdempotent(const ServiceName& service,
                           const std::string& method) const {
  const auto* rule =
      FirstMatch(idempotency, [&](const IdempotencyRule& candidate) {
        return Matches(candidate.service.value(), service.value()) &&
               Matches(candidate.method, method);
      });
  return rule != nullptr && rule->idempotent;
}

TrainerRule RuleSet::TrainerRuleOf(const TrainerId& trainer) const {
  return OrDefaults(FirstMatch(trainers, [&](const TrainerRule& rule) {
    return Matches(rule.trainer.value(), trainer.value());
  }));
}

bool RuleSet::IsDrained(const UpstreamId& upstream) const {
  return FirstMatch(drains, [&](const DrainRule& rule) {
           return rule.upstream == upstream;
         }) != nullptr;
}

std::optional<LimitRule> RuleSet::LimitOf(
    const CustomerId& customer, const RequestClass& request_class) const {
  return ToOptional(FirstOfCustomer(limits, customer, request_class));
}

bool RuleSet::MayUse(const RequestClass& request_class,
                     const std::string& serves) const {
  const AccessRule* rule = FirstOfClass(access, request_class);
  if (rule == nullptr) return true;
  return std::any_of(
      rule->serves.begin(), rule->serves.end(),
      [&](const std::string& name) { return Matches(name, serves); });
}

std::optional<ByteCount> RuleSet::LinkBudgetOf(const RegionId& from,
                                               const RegionId& to) const {
  const auto* rule = FirstMatch(links, [&](const LinkRule& candidate) {
    return Matches(candidate.from.value(), from.value()) &&
           Matches(candidate.to.value(), to.value());
  });
  if (rule == nullptr) return std::nullopt;
  return rule->bytes_per_second;
}

LocalitySpill RuleSet::SpillOf(const std::string& serves) const {
  return OrDefaults(FirstServing(spills, serves)).spill;
}

double RuleSet::ReserveOf(const std::string& serves) const {
  return OrDefaults(FirstServing(reserves, serves)).share;
}

std::uint32_t RuleSet::QueueLengthOf(const RequestClass& request_class) const {
  return OrDefaults(FirstOfClass(queues, request_class)).length;
}

RetryRule RuleSet::RetryOf(const RequestClass& request_class) const {
  return OrDefaults(FirstOfClass(retries, request_class));
}

std::optional<HedgeRule> RuleSet::HedgeOf(
    const RequestClass& request_class) const {
  return ToOptional(FirstOfClass(hedges, request_class));
}

std::optional<UpstreamId> RuleSet::PinOf(
    const RequestClass& request_class) const {
  const PinRule* rule = FirstOfClass(pins, request_class);
  if (rule == nullptr) return std::nullopt;
  return rule->upstream;
}

bool RuleSet::ChecksFencing(const std::string& serves) const {
  return OrDefaults(FirstServing(fencing, serves)).checks;
}

double RuleSet::StalenessWeight() const {
  return objective.value_or(ObjectiveRule{}).staleness_weight;
}

std::uint32_t RuleSet::LiveFloorOf(const std::string& serves) const {
  return OrDefaults(FirstServing(live_floors, serves)).replicas;
}

}  // namespace briarspread
