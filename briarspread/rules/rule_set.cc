#include "briarspread/rules/rule_set.h"

namespace briarspread {
namespace {

bool Matches(const std::string& pattern, const std::string& text) {
  return pattern == kAny || pattern == text;
}

}  // namespace

PriorityRule RuleSet::PriorityOf(const CustomerId& customer,
                                 const RequestClass& request_class) const {
  for (const PriorityRule& rule : priorities) {
    if (Matches(rule.customer.value(), customer.value()) &&
        Matches(rule.request_class.value(), request_class.value())) {
      return rule;
    }
  }
  return PriorityRule{};
}

bool RuleSet::IsIdempotent(const ServiceName& service,
                           const std::string& method) const {
  for (const IdempotencyRule& rule : idempotency) {
    if (Matches(rule.service.value(), service.value()) &&
        Matches(rule.method, method)) {
      return rule.idempotent;
    }
  }
  return false;
}

TrainerRule RuleSet::TrainerRuleOf(const TrainerId& trainer) const {
  for (const TrainerRule& rule : trainers) {
    if (Matches(rule.trainer.value(), trainer.value())) return rule;
  }
  return TrainerRule{};
}

bool RuleSet::IsDrained(const UpstreamId& upstream) const {
  for (const DrainRule& rule : drains) {
    if (rule.upstream == upstream) return true;
  }
  return false;
}

}  // namespace briarspread
