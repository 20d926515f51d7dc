#include "briarspread/routing/link_budget.h"

#include <algorithm>
#include <optional>

namespace briarspread {
namespace {

/// Returns this instance's share of the budget for one direction, or nothing if
/// the rules set no budget.
std::optional<TokenRate> OwnRate(const Link& link, const RegionId& from,
                                 const RegionId& to, const RuleSet& rules) {
  const std::optional<ByteCount> budget = rules.LinkBudgetOf(from, to);
  if (!budget.has_value()) return std::nullopt;
  const double whole = static_cast<double>(budget->value());
  return TokenRate{whole / link.instances.load(), LinkBudget::kBurst};
}

/// Returns the number of bytes used beyond those taken. Unused bytes are not
/// returned to the bucket: if they were, a time window that began after they
/// were taken could carry more than the budget allows.
double ExcessBytes(ByteCount used, ByteCount taken) {
  return used > taken ? static_cast<double>(used.value() - taken.value()) : 0.0;
}

}  // namespace

std::shared_ptr<Link> LinkBudget::LinkBetween(const RegionId& self,
                                              const RegionId& other) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<Link>& link = links_[RegionPair{self, other}];
  if (link == nullptr) {
    link = std::make_shared<Link>();
    link->self = self;
    link->other = other;
  }
  return link;
}

bool LinkBudget::TryTake(Link& link, const LinkVolume& volume,
                         const RuleSet& rules, TimePoint now) {
  const auto out = OwnRate(link, link.self, link.other, rules);
  const auto in = OwnRate(link, link.other, link.self, rules);
  const auto out_bytes = static_cast<double>(volume.outbound.value());
  const auto in_bytes = static_cast<double>(volume.inbound.value());
  if (out.has_value() && !link.outbound.TryTake(out_bytes, *out, now)) {
    return false;
  }
  if (in.has_value() && !link.inbound.TryTake(in_bytes, *in, now)) {
    if (out.has_value()) link.outbound.Charge(-out_bytes, *out, now);
    return false;
  }
  return true;
}

void LinkBudget::ChargeExcess(Link& link, const LinkVolume& taken,
                              const LinkVolume& used, const RuleSet& rules,
                              TimePoint now) {
  const auto out = OwnRate(link, link.self, link.other, rules);
  const auto in = OwnRate(link, link.other, link.self, rules);
  if (out.has_value() && out->per_second > 0) {
    link.outbound.Charge(ExcessBytes(used.outbound, taken.outbound), *out, now);
  }
  if (in.has_value() && in->per_second > 0) {
    link.inbound.Charge(ExcessBytes(used.inbound, taken.inbound), *in, now);
  }
}

}  // namespace briarspread
